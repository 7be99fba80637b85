"""Recording of the limits in responses and in messages of other instances."""

from .logs import log_change


class LimitRecorder:
    """Records limits in *book*, a :class:`LimitBook`, and logs changes."""

    def __init__(self, book):
        self._book = book

    def record(self, start, reading, source, now):
        """Record a :class:`LimitReading`; return whether the limit changes.

        *start* has the upstream's *id*; *source* is a :class:`LimitSource`.
        """
        previous_per_s = self._book.get(start)
        if not self._book.record(start, reading):
            return False
        self._log(start, previous_per_s, reading, source, now)
        return True

    def replace(self, start, reading, source, now):
        """Set the :class:`LimitReading` of *start*, whatever is known of it."""
        previous_per_s = self._book.get(start)
        self._book.replace(start, reading)
        self._log(start, previous_per_s, reading, source, now)

    def _log(self, start, previous_per_s, reading, source, now):
        per_s = self._book.get(start)
        log_change(start.id, previous_per_s, per_s, source, now - reading.answered_at)

"""Cold periods of upstreams."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ColdPeriod:
    """The period in which a start is cold, in seconds of the local clock."""

    since: float
    until: float


class ColdPeriods:
    """The upstream starts that are known to be cold.

    A cold upstream tolerates only a low request rate. It is known from the
    upstream's own entry, or assumed after the evacuation of its zone ends.
    """

    def __init__(self):
        self._spans = {}

    def mark_cold(self, start, duration_s, now):
        """Record that an :class:`UpstreamStart` is cold for *duration_s* from *now*.

        This extends a current cold period but never shortens it.
        """
        since = now - self.get_elapsed_s(start, now)
        until = now + max(duration_s, self.get_remaining_s(start, now))
        if until > now:
            self._spans[start] = ColdPeriod(since, until)

    def drop(self, start):
        """Remove a start that has ended."""
        self._spans.pop(start, None)

    def get_remaining_s(self, start, now):
        """Return for how many more seconds *start* is cold, 0 if it is warm."""
        span = self._find_current_span(start, now)
        return span.until - now if span else 0.0

    def get_elapsed_s(self, start, now):
        """Return for how many seconds *start* has been cold, 0 if it is warm."""
        span = self._find_current_span(start, now)
        return now - span.since if span else 0.0

    def _find_current_span(self, start, now):
        span = self._spans.get(start)
        if span is not None and now >= span.until:
            del self._spans[start]
            return None
        return span

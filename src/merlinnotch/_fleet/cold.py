"""Which upstreams are cold."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ColdSpan:
    """From when until when a start is cold."""

    since: float
    until: float


class ColdBook:
    """Which starts of upstreams are cold, as far as was heard.

    A cold upstream stays whole only under few requests. Several sources tell of one:
    its own entry, and operators who take its zone back.
    """

    def __init__(self):
        self._spans = {}

    def note(self, start, seconds, now):
        """Take that an :class:`UpstreamStart` is cold for *seconds* from *now*."""
        since = now - self.measure_age(start, now)
        until = now + max(seconds, self.measure_left(start, now))
        if until > now:
            self._spans[start] = ColdSpan(since, until)

    def drop(self, start):
        """Forget a start that has ended."""
        self._spans.pop(start, None)

    def measure_left(self, start, now):
        """Return for how many seconds *start* is cold, 0 for a warm one."""
        span = self._find(start, now)
        return span.until - now if span else 0.0

    def measure_age(self, start, now):
        """Return for how many seconds *start* has been cold, 0 for a warm one."""
        span = self._find(start, now)
        return now - span.since if span else 0.0

    def _find(self, start, now):
        span = self._spans.get(start)
        if span is not None and now >= span.until:
            del self._spans[start]
            return None
        return span

"""What an instance may conclude of a roll-out from the counters that it heard."""

from .stages import MOST_PART, Exposure

HEARD_S = 2.5
"""An instance that said nothing for this long is not heard; each tells its counters
at least once a second while a roll-out is under way, and two messages may be lost."""
SETTLE_S = 1.1
"""From most of the others being heard to all that can be: a second at most lies
between two messages of an instance, and the first one brings all that it counted
so far, which would look like a burst."""
MEASURE_S = 1.0
"""Shortest time in which the rate of requests is measured."""


class Hearing:
    """Who was heard of one roll-out, and since when that were most.

    An instance that has just started, or that was cut off, knows few of the
    requests that went to the new version; one that led 1.5 s after its start, with
    none counted, moved all traffic to a version that was bad. What may have been
    missed is estimated from the rate of what is heard. *share* is the part of the
    requests that a bad version may get.
    """

    def __init__(self, share):
        self._share = share
        self._heard_at = {}
        self._since = None
        self._measured_from = None
        self._total_then = 0

    def note(self, name, now):
        """Instance *name* told its counters."""
        self._heard_at[name] = now

    def listen(self, others, total, now):
        """Take who else is present and how many requests were counted so far."""
        if 2 * self._count_heard(others, now) < len(others):
            self._since = self._measured_from = None
        elif self._since is None:
            self._since = now
        elif self._measured_from is None and now - self._since >= SETTLE_S:
            self._measured_from = now
            self._total_then = total

    def is_enough(self, now):
        """Return whether stages may be decided by what was heard."""
        begun = self._measured_from
        return begun is not None and now - begun >= MEASURE_S

    def estimate(self, counted, age_s, others, now):
        """Return the :class:`Exposure` of the fleet, given what was *counted*.

        Requests that were not heard of count as if the new version had got the
        largest share of them that any stage before the last one gives it.
        """
        missing = len(others) - self._count_heard(others, now)
        scale = (len(others) + 1) / (len(others) + 1 - missing)
        rate = (counted.total - self._total_then) / (now - self._measured_from)
        total = max(counted.total, rate * age_s)
        unheard = scale * total - counted.total
        new = counted.new + MOST_PART * self._share * unheard
        return Exposure(new, scale * total)

    def _count_heard(self, others, now):
        """Return how many of *others* were heard lately."""
        return sum(1 for n in others if now - self._heard_at.get(n, -HEARD_S) < HEARD_S)

"""What one response of an upstream says about its limit."""

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class LimitReading:
    """The limit that an upstream named at some time in a span.

    *per_s* is the requests per second that it takes from all instances together, None
    if it named no limit. The upstream said so between *asked_at* and *answered_at*, in
    seconds of the local clock.
    """

    per_s: float | None
    asked_at: float
    answered_at: float

    def is_after(self, other):
        """Return whether this was certainly said after *other*."""
        return self.asked_at >= other.answered_at

    def combine(self, other):
        """Return what holds after this reading and *other*, in whichever order.

        The later one holds. If their order is unknown, the lower limit holds: any
        response that is certainly later corrects it.
        """
        if other.is_after(self):
            return other
        if self.is_after(other):
            return self
        if self.per_s == other.per_s:
            return max(self, other, key=lambda reading: reading.asked_at)
        return min(self, other, key=LimitReading._get_rank)

    def _get_rank(self):
        return math.inf if self.per_s is None else self.per_s


def make_report(per_s, answered_at):
    """Return the :class:`LimitReading` of a limit that another instance reported.

    When its response was asked for is unknown.
    """
    return LimitReading(per_s, -math.inf, answered_at)

"""The requests per second of one instance, by service."""

import math
from dataclasses import dataclass

MEAN_TIME_S = 20.0
"""Time constant of the mean. With 300 instances each has a request in some 5 s, and
means over few intervals are biased towards high rates."""


@dataclass
class ServiceRequests:
    """The requests of one service, counted with a weight that decays with their age."""

    first_at: float
    last_at: float = -math.inf
    repeatable_at: float = -math.inf
    _weight: float = 0.0

    def record(self, is_repeatable, now):
        """Record a request; return when the one before it was."""
        previous_at = self.last_at
        if previous_at > -math.inf:
            decay = math.exp((previous_at - now) / MEAN_TIME_S)
            self._weight = (self._weight + 1.0) * decay
        self.last_at = now
        if is_repeatable:
            self.repeatable_at = now
        return previous_at

    def get_rate(self):
        """Return the requests per second before the latest one, not 0."""
        age_s = self.last_at - self.first_at
        seen_share = 1.0 - math.exp(-age_s / MEAN_TIME_S)
        full_weight = MEAN_TIME_S * max(0.05, seen_share)
        return max(1.0 / MEAN_TIME_S, self._weight / full_weight)

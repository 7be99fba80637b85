"""The notices of one upstream."""

import math
from dataclasses import dataclass, field


@dataclass
class Notice:
    """Until when an upstream wants no requests, in seconds of the local clock.

    *leaving_until* has the end of each notice of leaving, by :class:`NoticeSource`.
    """

    leaving_until: dict = field(default_factory=dict)
    resting_until: float = -math.inf

    def is_leaving(self, now):
        """Return whether the upstream is leaving, by any source."""
        return any(now < until for until in self.leaving_until.values())

    def get_rest_s(self, now):
        """Return the remaining seconds of the rest, 0 without one."""
        return max(0.0, self.resting_until - now)

    def is_current(self, now):
        """Return whether the notice still has an effect."""
        return self.is_leaving(now) or self.get_rest_s(now) > 0.0

"""The stages of a roll-out and when the next one is due."""

from dataclasses import dataclass

FIRST_STAGE = 1
LAST_STAGE = 2
CANARY_PART = 0.6
"""Part of the allowed exposure that the first stage uses. A bad version is
convicted after some dozen answers, which it has within seconds; the rest of the
allowance is for the time from the last stage to the end of the period."""
EARLIEST_LAST = 0.55
"""Sessions stay on their version through the first half of the period."""
USED_PART = 0.85
"""Part of the allowance that may be planned for; tallies are a second old."""
BURST = 1.15
"""How much more traffic than so far the rest of the period may bring."""
COMPLETE_BEFORE_S = 1.6
"""How long before its end a roll-out is declared complete: writes take
milliseconds, a slow store some 200 ms, the turn of two more instances 1.4 s."""
SETTLE_S = 1.0
"""Least time from the last stage to completion, in which every instance has
seen it and short answers of old upstreams have ended."""


@dataclass(frozen=True)
class StagePlan:
    """One stage and its share of the traffic."""

    number: int
    share: float


@dataclass(frozen=True)
class Exposure:
    """Requests to the new version and to the whole service since the order."""

    new: int
    total: int


class Schedule:
    """Moves to the new version so late that even an undetected one is allowed.

    *share* of a service's requests in the period, and *slack* more, may go to a
    version that turns out bad. Some show it only once all traffic is on them,
    so that the last stage begins when what is left of the period fits into
    what is left of the allowance.
    """

    def __init__(self, share, slack):
        self._share = share
        self._slack = slack

    @property
    def first_share(self):
        """The share of the first stage."""
        return CANARY_PART * self._share

    def find_due(self, age_s, period_s, exposure):
        """Return the :class:`StagePlan` that should be in force."""
        if self._may_move(age_s, period_s, exposure):
            return StagePlan(LAST_STAGE, 1.0)
        return StagePlan(FIRST_STAGE, self.first_share)

    def is_complete(self, age_s, period_s, last_stage_s):
        """Return whether old upstreams may be stopped.

        *last_stage_s* is how long the last stage has been in force.
        """
        return age_s >= period_s - COMPLETE_BEFORE_S and last_stage_s >= SETTLE_S

    def _may_move(self, age_s, period_s, exposure):
        if age_s < EARLIEST_LAST * period_s:
            return False
        left_s = max(0.0, period_s - age_s)
        coming = BURST * exposure.total / age_s * left_s
        allowed = self._share * (exposure.total + coming) + self._slack
        return exposure.new + coming <= USED_PART * allowed

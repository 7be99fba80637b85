"""The stages of a roll-out and when the next one is due."""

from dataclasses import dataclass

from .verdict import Standing

FIRST_STAGE = 1
SESSION_STAGE = 2
LAST_STAGE = 3
FIRST_PART = 0.15
"""Part of the allowed share that requests without a session bring in the first
stage; it leaves most of the allowance for the later ones."""
MOST_PART = 1.2
"""The second stage's share at most, as a part of the allowed one. It lasts less
than half of the period."""
LEAST_SHARE = 0.01
"""The second stage's share at least: a version that fails at once shows it."""
ENOUGH_ANSWERS = 25
"""Answers of the second stage that convict a version with a third of its answers
bad, or slow, in 9 of 10 cases."""
SESSIONS_FROM = 0.55
"""Sessions stay on their version through the first half of the period."""
USED_PART = 0.85
"""Part of the allowance that may be planned for; tallies are half a second old."""
BURST = 1.15
"""How much more traffic than so far the rest of the period may bring."""
COMPLETE_BEFORE_S = 1.0
"""How long before its end a roll-out is declared complete: an order may be seen 0.6 s
late while the store drops its history, and a slow store takes some 200 ms."""
SETTLE_S = 0.55
"""Least time from the last stage to completion, in which every instance has
seen it and a version that fails under load has failed some answers."""
LATE_LAST_S = 4.0
"""Length of a last stage that begins too late to end within the period. It costs no
allowance any more, and upstreams fill up in it while those before still stand."""
LAST_S = (2.6, 2.0, SETTLE_S + COMPLETE_BEFORE_S)
"""Lengths of the last stage, the best first: a longer one shows more of a version
under load. Where a tenth of many requests is allowed, only the shortest leaves enough
for the canaries of the stage before."""


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
    what is left of the allowance, and only if its answers show that it is sound.
    One that stays doubtful keeps a small share past the end of its period: an
    operator waits, callers don't. Sessions join in the second half only, by a
    hash: nobody has to tell anybody which session is where.
    """

    def __init__(self, share, slack):
        self.share = share
        self._slack = slack

    def plan_first(self):
        """Return the first :class:`StagePlan`."""
        return StagePlan(FIRST_STAGE, FIRST_PART * self.share)

    def find_due(self, age_s, period_s, exposure, standing):
        """Return the :class:`StagePlan` that should be in force.

        *exposure* may be an estimate, *standing* says how the new version does.
        """
        if age_s < SESSIONS_FROM * period_s:
            return self.plan_first()
        rate = exposure.total / age_s
        left_s = max(0.0, period_s - age_s)
        spare = self._measure_spare(rate, left_s, exposure)
        coming = BURST * rate * left_s
        if spare >= coming and self._may_take_all(exposure.total + coming, standing):
            return StagePlan(LAST_STAGE, 1.0)
        share = self._choose_share(spare, rate, left_s, exposure.new)
        return StagePlan(SESSION_STAGE, share)

    def is_complete(self, age_s, period_s, last_stage_s, exposure, standing):
        """Return whether old upstreams may be stopped.

        *last_stage_s* is how long the last stage has been in force.
        """
        is_late = age_s - last_stage_s > period_s - SETTLE_S
        least_s = LATE_LAST_S if is_late else SETTLE_S
        if age_s < period_s - COMPLETE_BEFORE_S or last_stage_s < least_s:
            return False
        return self._may_take_all(exposure.total, standing)

    def _may_take_all(self, total, standing):
        """Return whether all of *total* requests may go to the new version.

        Of few requests that the slack covers no proof can be had.
        """
        if standing is Standing.UNKNOWN:
            return total <= self._slack
        return standing is Standing.SOUND

    def _measure_spare(self, rate, left_s, exposure):
        """Return how many more requests the new version may get."""
        total = exposure.total + BURST * rate * left_s
        return USED_PART * (self.share * total + self._slack) - exposure.new

    def _choose_share(self, spare, rate, left_s, seen):
        """Return the second stage's share, for the longest last stage it allows."""
        for last_s in LAST_S:
            coming = rate * max(0.1, left_s - last_s)
            rest = spare - BURST * rate * last_s
            if seen + rest >= ENOUGH_ANSWERS:
                break
        most = MOST_PART * self.share
        return min(most, max(LEAST_SHARE, rest / coming)) if coming else most

"""The stages of a rollout and the schedule that advances them."""

from dataclasses import dataclass

from .evaluation import VersionHealth

FIRST_STAGE = 1
SESSION_STAGE = 2
LAST_STAGE = 3
FIRST_STAGE_FRACTION = 0.15
"""Fraction of the allowed share that the first stage gives to requests without a
session. It leaves most of the allowance for the later stages."""
MAX_SECOND_STAGE_FRACTION = 1.2
"""Largest share of the second stage, as a multiple of the allowed share. It may exceed
1 because the stage lasts less than half of the period."""
MIN_SECOND_STAGE_SHARE = 0.01
"""Smallest share of the second stage, which still exposes a version that always
fails."""
MIN_SECOND_STAGE_ANSWERS = 25
"""Answers in the second stage that reject a version with a third of its answers bad or
slow, in 9 of 10 cases."""
SECOND_STAGE_START = 0.55
"""Fraction of the period during which sessions stay on the old version."""
PLANNED_FRACTION = 0.85
"""Fraction of the allowance that is planned for. The rest covers requests that were not
reported yet, as reports are up to half a second old."""
TRAFFIC_MARGIN = 1.15
"""Factor by which the request rate may rise in the rest of the period."""
COMPLETION_MARGIN_S = 1.0
"""Time before the end of the period from which a rollout may complete. It covers
orders that are seen late while the store compacts its history, and slow writes to the
store."""
MIN_LAST_STAGE_S = 0.55
"""Shortest time from the start of the last stage to completion. In this time every
instance sees the stage, and a version that fails under load begins to fail."""
LATE_LAST_STAGE_S = 4.0
"""Duration of a last stage that begins too late to end within the period. Requests
after the period don't count against the allowance, so the stage may last until the new
upstreams are loaded, while the old ones are still there as a fallback."""
LAST_STAGE_DURATIONS_S = (2.6, 2.0, MIN_LAST_STAGE_S + COMPLETION_MARGIN_S)
"""Durations of the last stage, the preferred one first. A longer stage shows more of a
version under load. If the allowance is a small fraction of much traffic, only the
shortest one leaves enough requests for the second stage."""


@dataclass(frozen=True)
class StagePlan:
    """A stage and its share of the traffic."""

    number: int
    share: float


@dataclass(frozen=True)
class Exposure:
    """Requests to the new version and to the service in total since the order."""

    new: int
    total: int


class Schedule:
    """Schedule whose allowance holds even for a bad version that is never detected.

    Of the requests in the period, *share* (a fraction) plus *slack* (a count) may go to
    a bad version. Some faults show only under all of the traffic. The last stage
    therefore begins when the allowance left covers the traffic left in the period, and
    only if the version is healthy. A version that stays suspect keeps a small share
    past the end of its period: that delays the operator but doesn't harm callers.

    Sessions move in the second half of the period only. They are placed by a hash, so
    instances need not exchange their placement.
    """

    def __init__(self, share, slack):
        self.share = share
        self._slack = slack

    def plan_first_stage(self):
        """Return the first :class:`StagePlan`."""
        return StagePlan(FIRST_STAGE, FIRST_STAGE_FRACTION * self.share)

    def plan_stage(self, age_s, period_s, exposure, health):
        """Return the :class:`StagePlan` that should be in force.

        *exposure* may be an estimate; *health* is the new version's
        :class:`VersionHealth`.
        """
        if age_s < SECOND_STAGE_START * period_s:
            return self.plan_first_stage()
        rate = exposure.total / age_s
        left_s = max(0.0, period_s - age_s)
        allowance = self._compute_allowance(rate, left_s, exposure)
        expected = TRAFFIC_MARGIN * rate * left_s
        if allowance >= expected and self._may_move_all_traffic(
            exposure.total + expected, health
        ):
            return StagePlan(LAST_STAGE, 1.0)
        share = self._choose_share(allowance, rate, left_s, exposure.new)
        return StagePlan(SESSION_STAGE, share)

    def is_complete(self, age_s, period_s, last_stage_s, exposure, health):
        """Return whether the upstreams of the old version may be stopped.

        *last_stage_s* is how long the last stage has been in force.
        """
        began_late = age_s - last_stage_s > period_s - MIN_LAST_STAGE_S
        min_last_stage_s = LATE_LAST_STAGE_S if began_late else MIN_LAST_STAGE_S
        if age_s < period_s - COMPLETION_MARGIN_S or last_stage_s < min_last_stage_s:
            return False
        return self._may_move_all_traffic(exposure.total, health)

    def _may_move_all_traffic(self, total, health):
        """Return whether all of *total* requests may go to the new version.

        A *total* within the slack is too small to show that a version is healthy. It is
        enough then that no fault was seen.
        """
        if health is VersionHealth.UNKNOWN:
            return total <= self._slack
        return health is VersionHealth.HEALTHY

    def _compute_allowance(self, rate, left_s, exposure):
        """Return how many more requests the new version may get."""
        total = exposure.total + TRAFFIC_MARGIN * rate * left_s
        return PLANNED_FRACTION * (self.share * total + self._slack) - exposure.new

    def _choose_share(self, allowance, rate, left_s, new_requests):
        """Return the second stage's share.

        The last stage is planned with the longest duration that leaves the second stage
        enough answers.
        """
        for last_stage_s in LAST_STAGE_DURATIONS_S:
            expected = rate * max(0.1, left_s - last_stage_s)
            available = allowance - TRAFFIC_MARGIN * rate * last_stage_s
            if new_requests + available >= MIN_SECOND_STAGE_ANSWERS:
                break
        max_share = MAX_SECOND_STAGE_FRACTION * self.share
        return (
            min(max_share, max(MIN_SECOND_STAGE_SHARE, available / expected))
            if expected
            else max_share
        )

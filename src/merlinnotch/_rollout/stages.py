"""The stages of a roll-out and when the next one is due."""

from dataclasses import dataclass


@dataclass(frozen=True)
class StagePlan:
    """One stage: from which part of the period on, and with which share."""

    number: int
    starts: float
    share: float


@dataclass(frozen=True)
class Schedule:
    """The stages of every roll-out and when it counts as complete.

    *complete_at* is a part of the period as well.
    """

    stages: tuple[StagePlan, ...]
    complete_at: float

    @property
    def first_share(self):
        """The share of the first stage."""
        return self.stages[0].share

    def find_due(self, age_s, period_s):
        """Return the last :class:`StagePlan` that has started, or None."""
        part = age_s / period_s
        due = [stage for stage in self.stages if stage.starts <= part]
        return due[-1] if due else None

    def is_complete(self, age_s, period_s):
        """Return whether old upstreams are no longer in use."""
        return age_s >= self.complete_at * period_s


FIRST_STAGE = 1
CANARY_PART = 0.8
"""Part of the allowed exposure that the first stage uses. A bad version is
convicted after some dozen answers; what reaches it until then, and while it
is under way to all instances, has to fit into the rest."""
CANARY_ENDS = 0.55
"""Sessions stay on their version through the first half of the period."""
HALF_ENDS = 0.65
COMPLETE_AT = 0.88
"""Time for streams on old upstreams to end before these are stopped."""


def build_schedule(exposure_share):
    """Return the :class:`Schedule` where *exposure_share* may reach a bad version."""
    return Schedule(
        (
            StagePlan(FIRST_STAGE, 0.0, CANARY_PART * exposure_share),
            StagePlan(2, CANARY_ENDS, 0.5),
            StagePlan(3, HALF_ENDS, 1.0),
        ),
        COMPLETE_AT,
    )

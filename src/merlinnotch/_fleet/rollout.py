"""Roll-outs: orders by operators and how far they are."""

import enum
from dataclasses import dataclass


class RolloutState(enum.StrEnum):
    """What operators are told of a roll-out."""

    ACTIVE = "active"
    COMPLETE = "complete"
    REVERTED = "reverted"


@dataclass(frozen=True)
class RolloutOrder:
    """Move *service* to *target* within *period_s* seconds.

    *index* is the store's modify index of the order; it tells orders apart.
    """

    service: str
    target: str
    period_s: float
    index: int


@dataclass(frozen=True)
class RolloutStatus:
    """The state last written for a service; *index* is its modify index."""

    service: str
    target: str
    state: RolloutState
    index: int


@dataclass(frozen=True)
class Stage:
    """How much of a service's traffic goes to the new version.

    Written for the order with *order_index*; *share* is between 0 and 1.
    *age_s* is how long the order stood when the stage was written, in seconds,
    by the clock of whoever wrote it. *canaries* is how many upstreams of the new
    version take the share.
    """

    service: str
    order_index: int
    number: int
    share: float
    age_s: float = 0.0
    index: int = 0
    canaries: int = 1

    @property
    def takes_all(self):
        """Whether all of the traffic goes to the new version."""
        return self.share >= 1.0

"""Rollouts: operators' orders and their progress."""

import enum
from dataclasses import dataclass

from .._store import build_index


class RolloutState(enum.StrEnum):
    """The state of a rollout, as reported to operators."""

    ACTIVE = "active"
    COMPLETE = "complete"
    REVERTED = "reverted"


@dataclass(frozen=True)
class RolloutOrder:
    """An order to move *service* to version *target* within *period_s* seconds.

    *index* identifies the order. It is the order's revision in the store, without the
    *era*: a restored store keeps the revisions of what its copy holds.
    """

    service: str
    target: str
    period_s: float
    index: int
    era: int = 0

    @property
    def modify_index(self):
        """The store's index of the order, which is comparable to that of a status."""
        return build_index(self.era, self.index)

    def is_copy_of(self, earlier):
        """Return whether this is *earlier* in a store that has been restored since.

        The copy holds it, or the operator has written it again.
        """
        terms = (self.service, self.target, self.period_s)
        earlier_terms = (earlier.service, earlier.target, earlier.period_s)
        return terms == earlier_terms and self.era > earlier.era


@dataclass(frozen=True)
class RolloutStatus:
    """The last state written for a service; *index* is its modify index."""

    service: str
    target: str
    state: RolloutState
    index: int


@dataclass(frozen=True)
class Stage:
    """The share of a service's traffic that goes to the new version.

    The stage belongs to the order with *order_index*; *share* is between 0 and 1.
    *age_s* is the age of the order in seconds when the stage was written, by the
    writer's clock. *canaries* is the number of upstreams of the new version that
    take the share. *bad_answers* is a checkpoint of the new version's bad answers so
    far, those of ended processes included.
    """

    service: str
    order_index: int
    number: int
    share: float
    age_s: float = 0.0
    index: int = 0
    canaries: int = 1
    bad_answers: int = 0

    @property
    def has_all_traffic(self):
        """Whether all of the traffic goes to the new version."""
        return self.share >= 1.0

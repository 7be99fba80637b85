"""The demand for a service over all instances."""

from dataclasses import dataclass


@dataclass(frozen=True)
class DemandRow:
    """*per_s* requests a second that *team* asks for with *rank*."""

    team: str
    rank: int
    per_s: float


@dataclass(frozen=True)
class ServiceDemand:
    """The demand for one service, as far as one instance knows it.

    *rows* covers *instance_count* instances, this one included; *own_share* is the part
    of the requests that arrive at this instance, from 0 to 1.
    """

    rows: tuple[DemandRow, ...] = ()
    instance_count: int = 1
    own_share: float = 1.0

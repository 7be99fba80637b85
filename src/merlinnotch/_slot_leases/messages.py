"""Messages between instances about leases on slots.

Those with invalid numbers raise ValueError or TypeError when they are created.
"""

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class SlotQuestion:
    """A request of the instance *asker* for a lease.

    *start* holds the fields of the upstream's start. The lease ends by itself after
    *lifetime_s* seconds. If no slot is free, the asker waits for *wait_s* seconds.
    """

    asker: str
    start: tuple
    lifetime_s: float
    wait_s: float

    def __post_init__(self):
        for duration_s in (self.lifetime_s, self.wait_s):
            if not 0.0 <= duration_s < math.inf:
                raise ValueError(f"invalid duration: {duration_s}")


@dataclass(frozen=True)
class SlotAnswer:
    """The answer to a :class:`SlotQuestion`; *lease_id* is 0 if it is denied."""

    lease_id: int


@dataclass(frozen=True)
class SlotRelease:
    """The end of a lease; *start* is as in :class:`SlotQuestion`.

    *was_rejected* tells that the upstream turned the request away all the same.
    """

    start: tuple
    lease_id: int
    was_rejected: bool

"""Messages between instances about the limits of upstreams.

Those with invalid numbers raise ValueError or TypeError when they are created.
"""

import dataclasses
import math
from dataclasses import dataclass


@dataclass(frozen=True)
class PermitQuestion:
    """A request for a permit to send one request to an upstream.

    *start* has the fields of the upstream's start. *per_s* is the limit that the asker
    knows, and *age_s* the time since the upstream's response that named it.
    """

    asker: str
    start: tuple
    is_urgent: bool
    per_s: float
    age_s: float

    def __post_init__(self):
        _check_rate(self.per_s)
        _check_duration(self.age_s)


@dataclass(frozen=True)
class PermitAnswer:
    """The answer to a :class:`PermitQuestion`.

    *permit_id* and *wait_s* are those of a :class:`PermitDecision`. *per_s* is the
    upstream's limit as the issuer knows it, None if it has ended, and *age_s* the time
    since the upstream's response that said so.
    """

    permit_id: int
    wait_s: float
    per_s: float | None
    age_s: float

    def __post_init__(self):
        _check_duration(self.wait_s)
        _check_duration(self.age_s)
        if self.per_s is not None:
            _check_rate(self.per_s)


@dataclass(frozen=True)
class PermitReturn:
    """A permit that was not used; *start* as in :class:`PermitQuestion`."""

    start: tuple
    permit_id: int


@dataclass(frozen=True)
class LimitReport:
    """The limit *per_s* that a response named, None if it named none.

    *permit_id* is the permit of its request, 0 without one. Then only a limit can be
    reported, not its end. *start* is as in :class:`PermitQuestion`.
    """

    start: tuple
    permit_id: int
    per_s: float | None

    def __post_init__(self):
        if self.per_s is not None:
            _check_rate(self.per_s)


def encode_start(start):
    """Return the fields of an upstream's start."""
    return dataclasses.astuple(start)


def _check_rate(per_s):
    if not 0.0 < per_s < math.inf:
        raise ValueError(f"invalid rate: {per_s}")


def _check_duration(duration_s):
    if not 0.0 <= duration_s < math.inf:
        raise ValueError(f"invalid duration: {duration_s}")

"""What one key of the store says, decoded."""

from dataclasses import dataclass

from .configuration import Configuration
from .rollout import RolloutOrder, RolloutStatus, Stage
from .upstream import Upstream


@dataclass(frozen=True)
class PeerAddress:
    """Where another instance of the product listens for its peers."""

    name: str
    zone: str
    address: str


@dataclass(frozen=True)
class BlockedRequest:
    """A request that is kept from upstreams, as it crashed those that ran it."""

    fingerprint: bytes


@dataclass(frozen=True)
class Evacuation:
    """Operators want nothing more sent to the upstreams of an availability zone.

    It stands until its key is removed. *is_readable* is false where the key names
    the zone but its value could not be read.
    """

    zone: str
    is_readable: bool = True


Fact = (
    Configuration
    | Upstream
    | RolloutOrder
    | RolloutStatus
    | Stage
    | PeerAddress
    | BlockedRequest
    | Evacuation
    | None
)
"""None: the key says nothing that this instance uses."""

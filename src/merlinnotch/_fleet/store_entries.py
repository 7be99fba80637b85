"""Decoded entries of the store."""

from dataclasses import dataclass

from .configuration import Configuration
from .rollout import RolloutOrder, RolloutStatus, Stage
from .upstream import Upstream


@dataclass(frozen=True)
class PeerAddress:
    """The address at which an instance listens for its peers."""

    name: str
    zone: str
    address: str


@dataclass(frozen=True)
class BlockedRequest:
    """A request that is withheld from upstreams because it crashed some."""

    fingerprint: bytes


@dataclass(frozen=True)
class Evacuation:
    """An operator's order to send nothing to the upstreams of an availability zone.

    It applies until its key is deleted. The key names the zone; *is_valid* is
    false if the value of the key could not be decoded.
    """

    zone: str
    is_valid: bool = True


StoreEntry = (
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
"""The decoded value of a key; None for a key that this instance does not use."""

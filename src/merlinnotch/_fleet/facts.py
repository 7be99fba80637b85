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


Fact = (
    Configuration | Upstream | RolloutOrder | RolloutStatus | Stage | PeerAddress | None
)
"""None: the key says nothing that this instance uses."""

"""What an instance knows of the fleet: declarations, upstreams, roll-outs."""

from .configuration import (
    CallerLimits,
    Configuration,
    Engine,
    Repeat,
    Route,
    Service,
    Split,
    Team,
)
from .facts import BlockedRequest, Evacuation, Fact, PeerAddress
from .rollout import RolloutOrder, RolloutState, RolloutStatus, Stage
from .upstream import Upstream, UpstreamStart

__all__ = [
    "BlockedRequest",
    "CallerLimits",
    "Configuration",
    "Engine",
    "Evacuation",
    "Fact",
    "PeerAddress",
    "Repeat",
    "RolloutOrder",
    "RolloutState",
    "RolloutStatus",
    "Route",
    "Service",
    "Split",
    "Stage",
    "Team",
    "Upstream",
    "UpstreamStart",
]

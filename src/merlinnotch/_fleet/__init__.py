"""The fleet as an instance knows it: configuration, upstreams and rollouts."""

from .configuration import (
    CallerLimits,
    Configuration,
    Engine,
    RetryPolicy,
    Route,
    Service,
    Split,
    Team,
)
from .rollout import RolloutOrder, RolloutState, RolloutStatus, Stage
from .store_entries import BlockedRequest, Evacuation, PeerAddress, StoreEntry
from .upstream import Upstream, UpstreamStart

__all__ = [
    "BlockedRequest",
    "CallerLimits",
    "Configuration",
    "Engine",
    "Evacuation",
    "PeerAddress",
    "RetryPolicy",
    "RolloutOrder",
    "RolloutState",
    "RolloutStatus",
    "Route",
    "Service",
    "Split",
    "Stage",
    "StoreEntry",
    "Team",
    "Upstream",
    "UpstreamStart",
]

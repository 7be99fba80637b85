"""The request path from a caller to an upstream and back.

Part of the process on the platform, :mod:`merlinnotch._entry`.
"""

from .admission_gate import AdmissionGate
from .attempt import AttemptSender
from .choice import UpstreamChooser
from .correlation import ResponseMatcher
from .forwarder import Forwarder
from .gateway import Gateway
from .parts import GatewayParts
from .permitted_choice import PermittedChooser
from .prober import Prober
from .reachability import ReachabilityChecker
from .relay import Relayer
from .relay_endpoint import RelayEndpoint
from .response_reader import ResponseReader
from .retry_budgets import RetryBudgets, share_slack
from .retry_reservation import RetryReserver
from .service_checker import ServiceChecker
from .service_rooms import ServiceRooms

__all__ = [
    "AdmissionGate",
    "AttemptSender",
    "Forwarder",
    "Gateway",
    "GatewayParts",
    "PermittedChooser",
    "Prober",
    "ReachabilityChecker",
    "RelayEndpoint",
    "Relayer",
    "ResponseMatcher",
    "ResponseReader",
    "RetryBudgets",
    "RetryReserver",
    "ServiceChecker",
    "ServiceRooms",
    "UpstreamChooser",
    "share_slack",
]

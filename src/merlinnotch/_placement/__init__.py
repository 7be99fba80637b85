"""Selection of the upstream and the model for each request.

An engine is an upstream that runs models.
"""

from .cache import PrefixCache, list_prefixes
from .cascade import CascadeConditions, CascadePolicy, CascadeSettings
from .event_gaps import EventGapBaselines
from .hard_shares import HardShares
from .load import UpstreamLoad
from .load_policy import Feature, LoadPolicy, Mode
from .loads import LoadTable
from .placer import PlacementRequest, Placer
from .prefill_rates import PrefillRates
from .ramp_up import RampUp
from .stream_lengths import StreamLengths
from .urgency import choose_urgency
from .warmup import ColdRateLimit, RendezvousWarmUp, WarmUp
from .work_times import WorkTimes

__all__ = [
    "CascadeConditions",
    "CascadePolicy",
    "CascadeSettings",
    "ColdRateLimit",
    "EventGapBaselines",
    "Feature",
    "HardShares",
    "LoadPolicy",
    "LoadTable",
    "Mode",
    "PlacementRequest",
    "Placer",
    "PrefillRates",
    "PrefixCache",
    "RampUp",
    "RendezvousWarmUp",
    "StreamLengths",
    "UpstreamLoad",
    "WarmUp",
    "WorkTimes",
    "choose_urgency",
    "list_prefixes",
]

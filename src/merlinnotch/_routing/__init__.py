"""Selection of the plan, the versions and the upstream for a request."""

from .guard import Alarm, VersionGuard
from .plan import Plan
from .planner import Planner
from .quality import QualityEstimator
from .upstream import Upstream, UpstreamStart
from .upstreams import UpstreamTable
from .versions import VersionPicker

__all__ = [
    "Alarm",
    "Plan",
    "Planner",
    "QualityEstimator",
    "Upstream",
    "UpstreamStart",
    "UpstreamTable",
    "VersionGuard",
    "VersionPicker",
]

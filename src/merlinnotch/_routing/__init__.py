"""Decisions: which plan, which version, which upstream."""

from .book import QualityBook
from .guard import Alarm, VersionGuard
from .plan import Plan
from .planner import Planner
from .upstream import Upstream
from .upstreams import UpstreamTable
from .versions import VersionPicker

__all__ = [
    "Alarm",
    "Plan",
    "Planner",
    "QualityBook",
    "Upstream",
    "UpstreamTable",
    "VersionGuard",
    "VersionPicker",
]

"""Detection and blocking of requests and prompt parts that crash upstreams."""

from .attribution import CrashAttributor
from .blocked import BLOCK_S, BlockList
from .fingerprint import fingerprint_parts, fingerprint_request
from .part_attribution import PartAttributor
from .part_tracker import PartTracker
from .part_usage import PartUsage, PartUsageCounter
from .recent import RecentSet
from .runs import Loss, Run, RunTable

__all__ = [
    "BLOCK_S",
    "BlockList",
    "CrashAttributor",
    "Loss",
    "PartAttributor",
    "PartTracker",
    "PartUsage",
    "PartUsageCounter",
    "RecentSet",
    "Run",
    "RunTable",
    "fingerprint_parts",
    "fingerprint_request",
]

"""Detection and blocking of requests that crash upstreams."""

from .attribution import CrashAttributor
from .blocked import BLOCK_S, BlockList
from .fingerprint import fingerprint_parts, fingerprint_request
from .recent import RecentSet
from .runs import Loss, Run, RunTable

__all__ = [
    "BLOCK_S",
    "BlockList",
    "CrashAttributor",
    "Loss",
    "RecentSet",
    "Run",
    "RunTable",
    "fingerprint_parts",
    "fingerprint_request",
]

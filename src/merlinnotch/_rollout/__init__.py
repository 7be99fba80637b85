"""Gradual rollout of a new version of a service, with automatic rollback."""

from .busy import get_count_route
from .canaries import count_canaries, select_canaries
from .checkpoints import BadAnswerTotal
from .chooser import VersionChooser
from .comparison import has_more_failures, is_slower
from .counts import AnswerCounts
from .coverage import ReportCoverage
from .evaluation import (
    VersionHealth,
    assess_health,
    describe_counts,
    find_rejection_reason,
    rules_out_failures,
)
from .failures import FailureCounts, compare_failures
from .latency import LatencyCounts, compare_latencies
from .sessions import place_session
from .stages import FIRST_STAGE, Exposure, Schedule, StagePlan
from .tallies import ReplicatedCounters, Tally, TallyKey
from .times import TimeKey, get_load_band, get_time_band

__all__ = [
    "FIRST_STAGE",
    "AnswerCounts",
    "BadAnswerTotal",
    "Exposure",
    "FailureCounts",
    "LatencyCounts",
    "ReplicatedCounters",
    "ReportCoverage",
    "Schedule",
    "StagePlan",
    "Tally",
    "TallyKey",
    "TimeKey",
    "VersionChooser",
    "VersionHealth",
    "assess_health",
    "compare_failures",
    "compare_latencies",
    "count_canaries",
    "describe_counts",
    "find_rejection_reason",
    "get_count_route",
    "get_load_band",
    "get_time_band",
    "has_more_failures",
    "is_slower",
    "place_session",
    "rules_out_failures",
    "select_canaries",
]

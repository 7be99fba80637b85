"""Fair queues, concurrency limits and retry budgets."""

from .adaptive import AdaptiveLimit
from .budget import RetryBudget
from .connection_gate import BEAT_INTERVAL_S, ConnectionGate
from .descriptors import compute_max_connections
from .link_budget import ConnectionTraffic, LinkBudget, measure_wire_bytes
from .machine_memory import find_memory_bytes
from .memory_budget import Holding, MemoryBudget
from .queue import FairQueue, Waiter
from .retry_after import jitter_retry_after, spread_retry_after
from .sliding_window import SlidingWindowRetryBudget
from .transfer_pace import MAX_STEP_S, TransferPace

__all__ = [
    "BEAT_INTERVAL_S",
    "ConnectionGate",
    "AdaptiveLimit",
    "ConnectionTraffic",
    "FairQueue",
    "Holding",
    "LinkBudget",
    "MAX_STEP_S",
    "MemoryBudget",
    "RetryBudget",
    "SlidingWindowRetryBudget",
    "TransferPace",
    "Waiter",
    "compute_max_connections",
    "find_memory_bytes",
    "jitter_retry_after",
    "measure_wire_bytes",
    "spread_retry_after",
]

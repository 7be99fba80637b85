"""Fair queues, concurrency limits and retry budgets."""

from .adaptive import AdaptiveLimit
from .budget import RetryBudget
from .connection_gate import BEAT_INTERVAL_S, ConnectionGate
from .link_budget import ConnectionTraffic, LinkBudget, measure_wire_bytes
from .memory_budget import MemoryBudget
from .queue import FairQueue, Waiter
from .retry_after import jitter_retry_after, spread_retry_after
from .sliding_window import SlidingWindowRetryBudget

__all__ = [
    "BEAT_INTERVAL_S",
    "ConnectionGate",
    "AdaptiveLimit",
    "ConnectionTraffic",
    "FairQueue",
    "LinkBudget",
    "MemoryBudget",
    "RetryBudget",
    "SlidingWindowRetryBudget",
    "Waiter",
    "jitter_retry_after",
    "measure_wire_bytes",
    "spread_retry_after",
]

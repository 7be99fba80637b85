"""What an operator can set about the decisions."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Tuning:
    """Numbers behind the decisions, the same on every instance.

    *fresh_for_s*: how long a proof of the newest revision counts, in seconds.
    *retry_ratio*: retries allowed for each first attempt, over the fleet.
    *queue_limit*: requests that may wait on one instance.
    *guard_drop*: the quality drop, from 0 to 1, that the guard looks for.
    *guard_error_rate*: the error rate that the guard takes for bad.
    *guard_false_alarm*: bound on the chance of a false alarm per test.
    """

    fresh_for_s: float = 10.0
    retry_ratio: float = 0.1
    queue_limit: int = 256
    guard_drop: float = 0.2
    guard_error_rate: float = 0.5
    guard_false_alarm: float = 1e-4

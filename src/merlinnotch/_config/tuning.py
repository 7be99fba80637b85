"""Tuning parameters."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Tuning:
    """Parameters that operators can set, the same on every instance.

    *fresh_for_s*: seconds for which a revision is fresh after it was last known to be
    the newest one.
    *retry_ratio*: maximum number of retries per first attempt, across the fleet.
    *queue_limit*: maximum number of requests that wait on one instance.
    *guard_drop*: the drop in quality, from 0 to 1, that the guard detects.
    *guard_error_rate*: the error rate, from 0 to 1, that the guard detects.
    *guard_false_alarm*: maximum probability of a false alarm per test.
    """

    fresh_for_s: float = 10.0
    retry_ratio: float = 0.1
    queue_limit: int = 256
    guard_drop: float = 0.2
    guard_error_rate: float = 0.5
    guard_false_alarm: float = 1e-4

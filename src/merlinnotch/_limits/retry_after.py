"""Values for Retry-After."""

import math
import random

MAX_RETRY_AFTER_S = 120.0
MAX_SPREAD_SHARE = 0.5
MAX_SPREAD_S = 10.0


def jitter_retry_after(base_s, generator=random):
    """Return *base_s* with random jitter, from 75 to 150 %, at most two minutes.

    Without jitter, callers that were refused together would retry together.
    """
    return min(MAX_RETRY_AFTER_S, base_s * generator.uniform(0.75, 1.5))


def spread_retry_after(min_s, generator=random, remaining_s=math.inf):
    """Return a random value from *min_s* up, by half of it or ten seconds at most.

    For causes whose end is known: no caller returns before it. *remaining_s* is the
    caller's remaining time. If it is longer than *min_s*, half of the rest of it is
    left for the next attempt.
    """
    max_spread_s = min(MAX_SPREAD_SHARE * min_s, MAX_SPREAD_S)
    if remaining_s > min_s:
        max_spread_s = min(max_spread_s, MAX_SPREAD_SHARE * (remaining_s - min_s))
    return min_s + generator.uniform(0.0, max_spread_s)

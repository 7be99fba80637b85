"""Times to come back."""

import random

MAX_RETRY_AFTER_S = 120.0


def spread_retry_after(base_s, generator=random):
    """Return *base_s* seconds spread by half either way.

    Callers that were refused together would otherwise come back together.
    """
    return min(MAX_RETRY_AFTER_S, base_s * generator.uniform(0.75, 1.5))

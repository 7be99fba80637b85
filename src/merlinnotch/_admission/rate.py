"""The rate at which one instance may admit requests."""

import math

BURST_S = 0.05
"""Time for which unused rate is kept: requests wait no longer than this for it."""
MIN_CAPACITY = 2.0
"""Tokens that are kept: one for a request, one that is reserved for urgent ones."""
MAX_DEBT_S = 0.5
MIN_DEBT = 5.0
"""Largest debt, as time of the rate and in requests. It lets kinds that are not held
back exceed their estimated demand for a while, as arrivals vary, but not for long."""

MAX_ELAPSED_S = 10.0


class AdmissionRate:
    """A token bucket in which admitted requests may leave a debt."""

    def __init__(self):
        self._tokens = 0.0
        self._refilled_at = None
        self.per_s = 0.0

    def refill(self, per_s, now):
        """Set the rate and add the tokens since the last call."""
        elapsed_s = max(0.0, now - self._refilled_at) if self._refilled_at else 0.0
        self._refilled_at = now
        self.per_s = per_s
        tokens = self._tokens + per_s * min(elapsed_s, MAX_ELAPSED_S)
        largest_debt = max(MIN_DEBT, per_s * MAX_DEBT_S)
        self._tokens = max(-largest_debt, min(self._get_capacity(), tokens))

    def take(self):
        """Take the token of an admitted request."""
        self._tokens -= 1.0

    def allows_debt(self, share):
        """Return whether the debt is below this *share* of the largest one."""
        largest = max(MIN_DEBT, self.per_s * MAX_DEBT_S)
        return self._tokens > -largest * share

    def has_token(self, share):
        """Return whether a request that was held back may be admitted."""
        return self._tokens >= self._get_threshold(share)

    def estimate_wait_s(self, ahead, share):
        """Return the seconds until a token for a request behind *ahead* others."""
        missing = ahead + self._get_threshold(share) - self._tokens
        if missing <= 0.0:
            return 0.0
        return missing / self.per_s if self.per_s > 0.0 else math.inf

    def _get_threshold(self, share):
        """Return the tokens needed by a kind of which *share* is admitted at once.

        What is left over goes to kinds that are little held back first.
        """
        return 1.0 + (1.0 - share) * (self._get_capacity() - 1.0)

    def _get_capacity(self):
        return max(MIN_CAPACITY, self.per_s * BURST_S)

"""A retry budget as a token bucket."""


class RetryBudget:
    """Limits retries to a fraction of first attempts.

    Each first attempt adds *ratio* tokens, each retry takes one. As every instance
    keeps to the ratio, the fleet does too, without coordination. The bucket starts
    with *reserve* tokens, so that an instance with few requests can retry, and holds
    at most *capacity*, by default ten times the reserve. In any period the retries
    are at most *ratio* times the first attempts plus *capacity*.
    """

    def __init__(self, ratio, reserve=10, capacity=None):
        self.ratio = ratio
        self._capacity = reserve * 10.0 if capacity is None else float(capacity)
        self._tokens = float(reserve)

    def record_first_attempt(self):
        """Add *ratio* tokens."""
        self._tokens = min(self._tokens + self.ratio, self._capacity)

    def can_acquire(self, min_remaining=0.0):
        """Return whether :meth:`try_acquire` would take a token now."""
        return self._tokens >= 1 + min_remaining

    def try_acquire(self, min_remaining=0.0):
        """Take one token if at least *min_remaining* remain; return whether it was."""
        if not self.can_acquire(min_remaining):
            return False
        self._tokens -= 1
        return True

    def release(self):
        """Return the token of a retry that was not sent."""
        self._tokens = min(self._tokens + 1, self._capacity)

"""The retry budget."""


class RetryBudget:
    """Allows retries in proportion to first attempts.

    Each instance holds its own retries to *ratio* of its own first attempts,
    which holds the fleet to the same ratio without a word between instances.
    *reserve* retries are there from the start, so that a quiet instance can
    retry at all.
    """

    def __init__(self, ratio, reserve=10):
        self.ratio = ratio
        self._reserve = reserve
        self._tokens = float(reserve)

    def note_first_attempt(self):
        """Earn a part of one retry."""
        self._tokens = min(self._tokens + self.ratio, self._reserve * 10.0)

    def take(self):
        """Spend one retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

"""The retry budget."""


class RetryBudget:
    """Allows retries in proportion to first attempts.

    Each instance holds its own retries to *ratio* of its own first attempts,
    which holds the fleet to the same ratio without a word between instances.
    *reserve* retries are there from the start, so that a quiet instance can
    retry at all; at most *most* can be saved up, ten times the reserve unless
    told otherwise. In any span of time the retries are then at most *ratio* of
    its first attempts and *most*.
    """

    def __init__(self, ratio, reserve=10, most=None):
        self.ratio = ratio
        self._most = reserve * 10.0 if most is None else float(most)
        self._tokens = float(reserve)

    def note_first_attempt(self):
        """Earn a part of one retry."""
        self._tokens = min(self._tokens + self.ratio, self._most)

    def take(self, keep=0.0):
        """Spend one retry and leave *keep*; return whether there was one."""
        if self._tokens < 1 + keep:
            return False
        self._tokens -= 1
        return True

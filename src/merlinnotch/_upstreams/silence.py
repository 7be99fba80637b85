"""Time limits on waiting for upstreams that are silent."""

CHECK_INTERVAL_S = 0.25
"""How long it is relied on that another attempt can follow, or can't."""

MIN_LIMIT_S = 0.01


class SilenceLimiter:
    """Limits the reads of one attempt.

    A silent upstream may still answer. It is therefore waited for until the deadline
    of *call*, unless another attempt can follow.

    *may_retry* is called with the time and returns whether one can. It is called before
    a read, as a read that timed out can't be resumed. The attempt may therefore end
    after all when the retry has been used by another call meanwhile.
    """

    def __init__(self, call, may_retry):
        self._call = call
        self._may_retry = may_retry
        self._is_retryable = False
        self._next_check_at = float("-inf")

    def compute_limit(self, limit_s, now):
        """Return the time limit of the next read in seconds.

        It is *limit_s* at most if another attempt can follow.
        """
        if now >= self._next_check_at:
            self._next_check_at = now + CHECK_INTERVAL_S
            self._is_retryable = self._may_retry(now)
        time_left_s = max(MIN_LIMIT_S, self._call.time_left_s)
        return min(limit_s, time_left_s) if self._is_retryable else time_left_s

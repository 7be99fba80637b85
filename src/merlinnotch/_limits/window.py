"""A retry budget over a sliding window."""

import collections


class RetryWindow:
    """Allows retries in proportion to the first attempts of the last *window_s*.

    In any window the retries are at most *ratio* of the first attempts and
    *reserve*. Each of many instances that keeps to this with its part of the
    fleet's reserve keeps the fleet to it without a word. A token bucket that
    holds so small a reserve forgets what it earned while callers come together,
    and then denies the retries that come together as well.
    """

    def __init__(self, ratio, reserve, window_s):
        self._ratio = ratio
        self._reserve = reserve
        self._window_s = window_s
        self._firsts = collections.deque()
        self._retries = collections.deque()

    def note_first_attempt(self, now):
        """Count a first attempt."""
        self._forget(now)
        self._firsts.append(now)

    def take(self, now, keep=0.0):
        """Count one retry and leave *keep*; return whether it was allowed."""
        self._forget(now)
        allowed = self._ratio * len(self._firsts) + self._reserve
        if len(self._retries) + 1 + keep > allowed:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now):
        for times in (self._firsts, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()

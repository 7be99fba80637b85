"""A retry budget over a sliding time window."""

import collections
from dataclasses import dataclass

MAX_SHARED_TOKENS = 2.0
"""Tokens of the fleet's unused retries that an instance keeps. All instances may use
theirs at once."""
TOKEN_TTL_SHARE = 0.08
"""How long the tokens of a first attempt are valid, as a share of the window. In a
window after a restart, retries are granted for this much more than the window."""


@dataclass
class _Tokens:
    """The *amount* left of what a first attempt at *granted_at* granted."""

    granted_at: float
    amount: float


@dataclass(frozen=True)
class _ReserveUse:
    """The *amount* of the reserve that a retry at *used_at* took."""

    used_at: float
    amount: float


class SlidingWindowRetryBudget:
    """Limits retries to a fraction of the first attempts in the last *window_s*.

    Each first attempt grants *ratio* tokens, which expire soon. A retry takes one, and
    what is missing from *reserve*. In any window the retries are at most *ratio* times
    the first attempts plus *reserve*. If each instance uses its share of a reserve, the
    whole fleet keeps to the limit without coordination; *reserve* may change with the
    fleet.

    A process forgets at a restart what it has granted. As few tokens can be saved up,
    the processes before and after it keep to nearly the same limit together.

    Retries that the fleet does not use may be granted beside these, see
    :meth:`grant_shared`.
    """

    def __init__(self, ratio, reserve, window_s):
        self._ratio = ratio
        self.reserve = reserve
        self._window_s = window_s
        self._token_ttl_s = TOKEN_TTL_SHARE * window_s
        self._first_attempts = collections.deque()
        self._retries = collections.deque()
        self._tokens = collections.deque()
        self._reserve_uses = collections.deque()
        self._shared_tokens = 0.0
        self._shared_at = None

    def record_first_attempt(self, now):
        """Count a first attempt at *now*."""
        self._drop_expired(now)
        self._first_attempts.append(now)
        self._tokens.append(_Tokens(now, self._ratio))

    def grant_shared(self, per_s, now):
        """Grant *per_s* retries a second of those that the fleet does not use.

        It is called with the present rate before each use; 0 withdraws what is left.
        """
        if per_s <= 0.0:
            self._shared_tokens = 0.0
        elif self._shared_at is not None:
            granted = per_s * max(0.0, now - self._shared_at)
            self._shared_tokens = min(MAX_SHARED_TOKENS, self._shared_tokens + granted)
        self._shared_at = now

    def can_acquire(self, now, min_remaining=0.0):
        """Return whether a retry is allowed now, and *min_remaining* more."""
        self._drop_expired(now)
        wanted = 1 + min_remaining
        return self._shared_tokens >= wanted or self._has_tokens(wanted)

    def _has_tokens(self, wanted):
        max_retries = self._ratio * len(self._first_attempts) + self.reserve
        if len(self._retries) + wanted > max_retries:
            return False
        used_reserve = sum(use.amount for use in self._reserve_uses)
        free_reserve = max(0.0, self.reserve - used_reserve)
        return sum(t.amount for t in self._tokens) + free_reserve >= wanted

    def try_acquire(self, now, min_remaining=0.0):
        """Count a retry if *min_remaining* more are allowed; return whether it was."""
        if not self.can_acquire(now, min_remaining):
            return False
        if not self._has_tokens(1 + min_remaining):
            self._shared_tokens -= 1.0
            return True
        self._retries.append(now)
        missing = self._take_tokens()
        if missing > 0.0:
            self._reserve_uses.append(_ReserveUse(now, missing))
        return True

    def _take_tokens(self):
        """Take one token, those that expire first; return what is missing of it."""
        missing = 1.0
        while self._tokens and missing > 0.0:
            oldest = self._tokens[0]
            taken = min(missing, oldest.amount)
            missing -= taken
            oldest.amount -= taken
            if oldest.amount <= 0.0:
                self._tokens.popleft()
        return missing

    def _drop_expired(self, now):
        window_start = now - self._window_s
        for timestamps in (self._first_attempts, self._retries):
            while timestamps and timestamps[0] <= window_start:
                timestamps.popleft()
        while self._reserve_uses and self._reserve_uses[0].used_at <= window_start:
            self._reserve_uses.popleft()
        valid_from = now - self._token_ttl_s
        while self._tokens and self._tokens[0].granted_at <= valid_from:
            self._tokens.popleft()

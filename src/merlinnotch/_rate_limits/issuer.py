"""Issue of permits for the upstreams that one instance is responsible for."""

import collections
import itertools
from dataclasses import dataclass, field

from .permit import PermitDecision

BURST = 2.0
"""Permits that may be issued at once after a pause. With fewer, permits that fall due
between two requests are lost."""
WINDOW_S = 4.0
"""Span in which a lowered limit counts requests that were permitted before."""
RETENTION_S = 60.0
"""How long permits are remembered. Responses that take longer don't end a limit."""
MIN_WAIT_S = 0.02
MAX_WAIT_S = 10.0
"""Longest wait that is named because of others that wait; they may not return."""
WAITER_GRACE_S = 0.5
"""How long an asker counts as waiting after the time at which it should return."""
MAX_STARTS = 1024
"""Bounds memory; the start whose permits were asked for the longest time ago is dropped
first."""


class PermitIssuer:
    """Issues the permits of limited upstreams, one token bucket for each start.

    The bucket is empty at first, as other instances may have sent requests before.
    Permits are issued in the order of requests, but the last one of a bucket is kept
    for urgent requests while some wait: their callers would be refused, other requests
    go elsewhere. This answers a load above the limit of which a part can go elsewhere.

    Permit ids count up from *first_id*. Those of a previous process must not be
    reused, as they may still be returned.
    """

    def __init__(self, first_id=1, max_starts=MAX_STARTS):
        self._ids = itertools.count(first_id)
        self._max_starts = max_starts
        self._buckets = collections.OrderedDict()

    def issue(self, start, per_s, request, now):
        """Return the :class:`PermitDecision` on a :class:`PermitRequest`.

        *per_s* is the current rate of permits of *start*.
        """
        bucket = self._get_or_create(start, now)
        bucket.refill(per_s, now)
        wait_s = bucket.compute_wait_s(per_s, request, now)
        if wait_s > 0.0:
            wait_s = max(MIN_WAIT_S, wait_s)
            bucket.waiters[request] = now + wait_s
            return PermitDecision(0, wait_s)
        bucket.waiters.pop(request, None)
        bucket.tokens -= 1.0
        permit_id = next(self._ids)
        bucket.issued_at[permit_id] = now
        return PermitDecision(permit_id)

    def give_back(self, start, permit_id):
        """Make a permit that was not used available again."""
        bucket = self._buckets.get(start)
        if bucket is not None and bucket.issued_at.pop(permit_id, None) is not None:
            bucket.tokens = min(BURST, bucket.tokens + 1.0)

    def get_issued_at(self, start, permit_id):
        """Return when a recent permit was issued, or None."""
        bucket = self._buckets.get(start)
        return bucket.issued_at.get(permit_id) if bucket is not None else None

    def drop(self, start):
        """Drop the permits of a start that has ended."""
        self._buckets.pop(start, None)

    def _get_or_create(self, start, now):
        bucket = self._buckets.get(start)
        if bucket is None:
            bucket = self._buckets[start] = _Bucket(now)
        self._buckets.move_to_end(start)
        if len(self._buckets) > self._max_starts:
            self._buckets.popitem(last=False)
        return bucket


@dataclass
class _Bucket:
    """The permits of one start.

    *issued_at* maps the permits of the last RETENTION_S seconds to the time of their
    issue, oldest first, *waiters* each denied :class:`PermitRequest` to the time at
    which it should return.
    """

    refilled_at: float
    tokens: float = 0.0
    issued_at: dict = field(default_factory=dict)
    waiters: dict = field(default_factory=dict)

    def refill(self, per_s, now):
        """Add the tokens since the last call, and forget what is past."""
        self.tokens = min(BURST, self.tokens + per_s * (now - self.refilled_at))
        self.refilled_at = now
        self._forget_past(now)

    def compute_wait_s(self, per_s, request, now):
        """Return the seconds until a permit is due for *request*, 0 if one is."""
        ahead = [
            waiter
            for waiter in self.waiters
            if waiter != request and (waiter.is_urgent or not request.is_urgent)
        ]
        is_reserved = not request.is_urgent and any(w.is_urgent for w in ahead)
        window_wait_s = self._compute_window_wait_s(per_s, now)
        missing = 1.0 + is_reserved - self.tokens
        if missing <= 0.0 and window_wait_s <= 0.0:
            return 0.0
        due_s = max(missing / per_s, window_wait_s)
        return max(due_s, min(MAX_WAIT_S, due_s + len(ahead) / per_s))

    def _compute_window_wait_s(self, per_s, now):
        """Return the seconds until earlier permits leave room in the window."""
        max_issued = int(per_s * WINDOW_S + BURST)
        since = now - WINDOW_S
        times = list(
            itertools.takewhile(
                lambda at: at > since, reversed(self.issued_at.values())
            )
        )
        if len(times) < max_issued:
            return 0.0
        return times[max_issued - 1] - since

    def _forget_past(self, now):
        past = itertools.takewhile(
            lambda permit_id: now - self.issued_at[permit_id] >= RETENTION_S,
            self.issued_at,
        )
        for permit_id in list(past):
            del self.issued_at[permit_id]
        gone = [
            waiter
            for waiter, returns_at in self.waiters.items()
            if now > returns_at + WAITER_GRACE_S
        ]
        for waiter in gone:
            del self.waiters[waiter]

"""Grants of leases on slots, by the instance that is responsible for an upstream."""

import collections
import itertools
from dataclasses import dataclass, field

FIRST_SHARE = 0.5
"""Share of the slots that are granted at first: requests that were sent without a
lease, or under those of another issuer, are still under way."""
FIRST_S = 1.0
UNLEASED_S = 30.0
"""How long requests that were sent without a lease may be under way. Until then the
upstream's own count is used as well."""
RECOVERY_S = 2.0
"""Time after a rejection until one more slot is granted again."""
MAX_STARTS = 1024
"""Bounds memory; the start whose slots were asked for the longest time ago is dropped
first."""


@dataclass(frozen=True)
class Waiter:
    """An asker that waits for a slot; *answer* is called with the id of its lease."""

    answer: object
    expires_at: float
    lifetime_s: float


class SlotIssuer:
    """Grants leases, no more at a time than the upstream has slots.

    Each rejection in spite of a lease takes one slot away for RECOVERY_S. Askers that
    may wait get the slots that become free in the order of their questions. This
    answers a load above what the slots allow, of which the rest is refused.

    Lease ids count up from *first_id*; those of a previous process must not be reused.
    """

    def __init__(self, first_id=1):
        self._ids = itertools.count(first_id)
        self._slots = collections.OrderedDict()

    def grant(self, start, slots, reported_count, lifetime_s, now):
        """Return the id of a lease that ends after *lifetime_s*, 0 if none is free.

        *slots* are those of the upstream, *reported_count* how many requests it has
        reported lately.
        """
        state = self._get_or_create(start, now)
        state.slots = slots
        state.forget_ended(now)
        if state.waiters or not state.has_room(reported_count, now):
            return 0
        return self._add(state, lifetime_s, now)

    def wait(self, start, waiter, now):
        """Queue a :class:`Waiter`; return False if the queue is full."""
        state = self._get_or_create(start, now)
        state.forget_ended(now)
        if len(state.waiters) >= max(1, state.slots):
            return False
        state.waiters.append(waiter)
        return True

    def release(self, start, lease_id, was_rejected, now):
        """End a lease. It may be released twice."""
        state = self._slots.get(start)
        if state is None or state.leases.pop(lease_id, None) is None:
            return
        if was_rejected:
            state.record_rejection(now)

    def grant_waiting(self, start, now):
        """Return the waiters that get free slots now, with the ids of their leases."""
        state = self._slots.get(start)
        if state is None:
            return []
        state.forget_ended(now)
        granted = []
        while state.waiters and state.has_room(0, now):
            waiter = state.waiters.popleft()
            granted.append((waiter, self._add(state, waiter.lifetime_s, now)))
        return granted

    def count_leases(self, start, now):
        """Return how many leases on *start* are in force."""
        state = self._slots.get(start)
        if state is None:
            return 0
        state.forget_ended(now)
        return len(state.leases)

    def drop(self, start):
        """Drop a start that has ended."""
        self._slots.pop(start, None)

    def _add(self, state, lifetime_s, now):
        lease_id = next(self._ids)
        state.leases[lease_id] = now + lifetime_s
        return lease_id

    def _get_or_create(self, start, now):
        state = self._slots.get(start)
        if state is None:
            state = self._slots[start] = _Slots(now)
        self._slots.move_to_end(start)
        if len(self._slots) > MAX_STARTS:
            self._slots.popitem(last=False)
        return state


@dataclass
class _Slots:
    """The slots of one start; *leases* maps ids to the times at which they end."""

    created_at: float
    slots: int = 1
    leases: dict = field(default_factory=dict)
    waiters: collections.deque = field(default_factory=collections.deque)
    rejected_at: collections.deque = field(default_factory=collections.deque)

    def has_room(self, reported_count, now):
        """Return whether another lease can be granted."""
        count = len(self.leases)
        if now - self.created_at < UNLEASED_S:
            count = max(count, reported_count)
        return count < self._compute_limit(now)

    def record_rejection(self, now):
        """Take one slot away for a while."""
        self.rejected_at.append(now)

    def forget_ended(self, now):
        """Drop leases, waiters and rejections that are past."""
        for lease_id in [i for i, ends_at in self.leases.items() if now >= ends_at]:
            del self.leases[lease_id]
        while self.waiters and now >= self.waiters[0].expires_at:
            self.waiters.popleft()
        while self.rejected_at and now - self.rejected_at[0] >= RECOVERY_S:
            self.rejected_at.popleft()

    def _compute_limit(self, now):
        limit = self.slots - len(self.rejected_at)
        if now - self.created_at < FIRST_S:
            limit = min(limit, int(FIRST_SHARE * self.slots))
        return max(1, limit)

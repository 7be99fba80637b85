"""Bounded queues that share fairly between teams."""

from dataclasses import dataclass, field

PRIORITY_BASE = 5
PRIORITY_STEP = 2**0.5


@dataclass(eq=False)
class Waiter:
    """A request that waits. *deadline* is on the monotonic clock.

    *payload* belongs to whoever waits; the queue never looks at it.
    """

    team: str
    weight: float
    priority: int
    deadline: float
    payload: object = None
    start_tag: float = field(default=0.0)


class FairQueue:
    """Weighted fair queueing by virtual start time, with a bound.

    By start time, a team that asks seldom goes next whatever its weight; by
    finish time it would wait for the heavy ones to have their turn, and where
    requests have deadlines it would starve.

    When the queue is full, whoever holds most for its weight gives way: the
    newcomer, or the newest waiter of the team that is furthest over.
    """

    def __init__(self, limit):
        self.limit = limit
        self._waiters = []
        self._finish_tags = {}
        self._virtual_time = 0.0

    def __len__(self):
        return len(self._waiters)

    def push(self, waiter):
        """Queue *waiter*; return the waiter that gives way, or None."""
        evicted = None
        if len(self._waiters) >= self.limit:
            evicted = self._pick_victim(waiter)
            if evicted is waiter:
                return waiter
            self.remove(evicted)
        last = self._finish_tags.get(waiter.team, 0.0)
        waiter.start_tag = max(self._virtual_time, last)
        self._finish_tags[waiter.team] = waiter.start_tag + 1 / _weigh(waiter)
        self._waiters.append(waiter)
        return evicted

    def pop_first(self, accept):
        """Remove and return the first waiter, in fair order, that *accept* takes."""
        for waiter in sorted(self._waiters, key=_rank):
            if accept(waiter):
                self._waiters.remove(waiter)
                self._virtual_time = max(self._virtual_time, waiter.start_tag)
                return waiter
        return None

    def remove(self, waiter):
        """Take *waiter* out unserved, if it still waits; return whether it did."""
        if waiter not in self._waiters:
            return False
        self._waiters.remove(waiter)
        # What was not done must not count against its team.
        self._finish_tags[waiter.team] -= 1 / _weigh(waiter)
        return True

    def pop_expired(self, now):
        """Remove and return the waiters whose deadline has passed."""
        expired = [waiter for waiter in self._waiters if waiter.deadline <= now]
        for waiter in expired:
            self.remove(waiter)
        return expired

    def _pick_victim(self, newcomer):
        held = {newcomer.team: 1.0 / newcomer.weight}
        for waiter in self._waiters:
            held[waiter.team] = held.get(waiter.team, 0.0) + 1 / waiter.weight
        most = max(held.values())
        if held[newcomer.team] >= most:
            return newcomer
        worst = max(held, key=held.get)
        return [w for w in self._waiters if w.team == worst][-1]


def _rank(waiter):
    return (waiter.start_tag, -waiter.priority)


def _weigh(waiter):
    return waiter.weight * PRIORITY_STEP ** (waiter.priority - PRIORITY_BASE)

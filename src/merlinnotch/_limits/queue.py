"""A bounded queue that is fair between teams."""

from dataclasses import dataclass, field

DEFAULT_PRIORITY = 5
PRIORITY_WEIGHT_FACTOR = 2**0.5


@dataclass(eq=False)
class Waiter:
    """A queued request.

    *deadline* is a time of the monotonic clock. The queue does not use *payload*.
    """

    team: str
    weight: float
    priority: int
    deadline: float
    payload: object = None
    start_tag: float = field(default=0.0)


class FairQueue:
    """Start-time fair queueing (SFQ) over teams, with a maximum length *limit*.

    Ordering by virtual start time serves a team with few requests next, whatever its
    weight. Ordered by finish time, it would wait behind teams of higher weight and
    its requests could miss their deadlines.

    A push to a full queue evicts the newest waiter of the team with the most waiters
    relative to its weight, or the pushed waiter if its own team is that team.
    """

    def __init__(self, limit):
        self.limit = limit
        self._waiters = []
        self._finish_tags = {}
        self._virtual_time = 0.0

    def __len__(self):
        return len(self._waiters)

    def push(self, waiter):
        """Add *waiter*; return the waiter that is evicted for it, or None."""
        evicted = None
        if len(self._waiters) >= self.limit:
            evicted = self._pick_victim(waiter)
            if evicted is waiter:
                return waiter
            self.remove(evicted)
        last_finish_tag = self._finish_tags.get(waiter.team, 0.0)
        waiter.start_tag = max(self._virtual_time, last_finish_tag)
        self._finish_tags[waiter.team] = waiter.start_tag + 1 / _compute_weight(waiter)
        self._waiters.append(waiter)
        return evicted

    def pop_first(self, accept):
        """Remove and return the first waiter in fair order that *accept* accepts."""
        for waiter in sorted(self._waiters, key=_get_sort_key):
            if accept(waiter):
                self._waiters.remove(waiter)
                self._virtual_time = max(self._virtual_time, waiter.start_tag)
                return waiter
        return None

    def remove(self, waiter):
        """Remove *waiter* unserved; return whether it was queued."""
        if waiter not in self._waiters:
            return False
        self._waiters.remove(waiter)
        # Work that was not done must not count towards the share of its team.
        self._finish_tags[waiter.team] -= 1 / _compute_weight(waiter)
        return True

    def pop_expired(self, now):
        """Remove and return the waiters whose deadline has passed at *now*."""
        return self.pop_matching(lambda waiter: waiter.deadline <= now)

    def pop_matching(self, matches):
        """Remove unserved and return the waiters for which *matches* is true."""
        matching = [waiter for waiter in self._waiters if matches(waiter)]
        for waiter in matching:
            self.remove(waiter)
        return matching

    def _pick_victim(self, arriving):
        usage = {arriving.team: 1.0 / arriving.weight}
        for waiter in self._waiters:
            usage[waiter.team] = usage.get(waiter.team, 0.0) + 1 / waiter.weight
        max_usage = max(usage.values())
        if usage[arriving.team] >= max_usage:
            return arriving
        heaviest_team = max(usage, key=usage.get)
        return [w for w in self._waiters if w.team == heaviest_team][-1]


def _get_sort_key(waiter):
    return (waiter.start_tag, -waiter.priority)


def _compute_weight(waiter):
    return waiter.weight * PRIORITY_WEIGHT_FACTOR ** (
        waiter.priority - DEFAULT_PRIORITY
    )

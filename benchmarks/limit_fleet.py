"""A simulated fleet before one limited upstream, for comparing ways to keep its limit.

No processes, no sockets: a clock that jumps from event to event, callers that arrive at
random and messages that are delayed and lost.
"""

import abc
import bisect
import heapq
import itertools
import random
from dataclasses import dataclass

WINDOW_S = 4.0
MIN_DELAY_S = 0.001
MAX_DELAY_S = 0.02


@dataclass(frozen=True)
class Load:
    """One simulated load; *limit_per_s* falls to *lowered_per_s* after half of it.

    *requests_per_s* is the demand of all callers that the limited upstream could take,
    *is_spread* whether it comes to all instances or to one. With *is_divided* the fleet
    consists of two halves that don't know of each other; the second one is without the
    store.
    """

    size: int
    limit_per_s: float
    requests_per_s: float
    is_spread: bool = True
    is_divided: bool = False
    loss: float = 0.0
    duration_s: float = 120.0
    lowered_per_s: float | None = None
    seed: int = 1


class Sharing(abc.ABC):
    """A way to keep the limit of one upstream in a :class:`LimitedFleet`."""

    def __init__(self, fleet):
        self.fleet = fleet

    @abc.abstractmethod
    def handle_request(self, instance):
        """Send the request that came to *instance*, or leave it to other upstreams."""


class LimitedFleet:
    """Plays a :class:`Load` with one :class:`Sharing`."""

    def __init__(self, load, make_sharing):
        self.load = load
        self.now = 0.0
        self.limit_per_s = load.limit_per_s
        self.sent_at = []
        self.message_count = 0
        self._generator = random.Random(load.seed)
        self._events = []
        self._order = itertools.count()
        self._sharing = make_sharing(self)

    def run(self):
        """Play the load and return this fleet."""
        self._schedule_request()
        if self.load.lowered_per_s is not None:
            self.schedule(self.load.duration_s / 2.0, self._lower_limit)
        while self._events[0][0] < self.load.duration_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self

    def schedule(self, delay_s, action):
        """Call *action* after *delay_s* seconds."""
        event = (self.now + delay_s, next(self._order), action)
        heapq.heappush(self._events, event)

    def send_message(self, action):
        """Call *action* when a message arrives, if it does."""
        self.message_count += 1
        if self._generator.random() >= self.load.loss:
            delay_s = self._generator.uniform(MIN_DELAY_S, MAX_DELAY_S)
            self.schedule(delay_s, action)

    def send_request(self):
        """Send a request to the limited upstream."""
        self.sent_at.append(self.now)

    def list_known(self, instance):
        """Return the instances that *instance* knows, itself included."""
        if not self.load.is_divided:
            return range(self.load.size)
        half = self.load.size // 2
        return range(half) if instance < half else range(half, self.load.size)

    def is_connected(self, instance):
        """Return whether *instance* reaches the store."""
        return not self.load.is_divided or instance < self.load.size // 2

    def count_most(self):
        """Return the most requests in a window, after a lowering if there is one."""
        since = self.load.duration_s / 2.0 if self.load.lowered_per_s else 0.0
        times = [at for at in self.sent_at if at >= since]
        return max(
            (
                bisect.bisect_left(times, at + WINDOW_S) - n
                for n, at in enumerate(times)
            ),
            default=0,
        )

    def compute_use(self):
        """Return the requests sent as a share of what the limit allows."""
        return len(self.sent_at) / (self.load.limit_per_s * self.load.duration_s)

    def _schedule_request(self):
        delay_s = self._generator.expovariate(self.load.requests_per_s)
        self.schedule(delay_s, self._handle_request)

    def _handle_request(self):
        count = self.load.size if self.load.is_spread else 1
        self._sharing.handle_request(self._generator.randrange(count))
        self._schedule_request()

    def _lower_limit(self):
        self.limit_per_s = self.load.lowered_per_s

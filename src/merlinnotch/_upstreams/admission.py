"""Waiting for a place at an upstream."""

import time
from dataclasses import dataclass

import eventlet
from eventlet.event import Event

from .._errors import ErrorKind, RequestRefused
from .._limits import FairQueue, Waiter

SMOOTHING = 0.05
MAX_SAMPLE_S = 1.0


@dataclass(frozen=True)
class Need:
    """What a request needs a place for; *leave_by* is on the monotonic clock.

    *leave_by* is the last moment at which starting is still of use.
    """

    team: str
    weight: float
    priority: int
    pool: str
    version: str | None
    affinity_key: str
    exclude: frozenset[str]
    leave_by: float


class Admission:
    """Hands out places at upstreams in fair order.

    A request that can't be expected to get a place in time is refused at
    once, with the time after which there should be one.
    """

    def __init__(self, table, queue_limit):
        self._table = table
        self._queue = FairQueue(queue_limit)
        self._release_interval_s = 0.0
        self._last_release = None

    def set_queue_limit(self, limit):
        """Take the bound of a new catalogue."""
        self._queue.limit = limit

    def acquire(self, need):
        """Return an upstream with a place for *need*, which :meth:`release` frees.

        Raises :class:`RequestRefused` (overloaded, no_upstream).
        """
        now = time.monotonic()
        if not self._table.find(need.pool, need.version, now, need.exclude):
            raise RequestRefused(ErrorKind.NO_UPSTREAM)
        if len(self._queue) == 0:
            upstream = self._choose(need, now)
            if upstream is not None:
                return self._take(upstream)
        self._check_wait(need, now)
        return self._wait(need)

    def release(self, upstream):
        """Free a place and give it to whoever is next."""
        upstream.in_flight -= 1
        now = time.monotonic()
        if self._last_release is not None:
            sample = min(MAX_SAMPLE_S, now - self._last_release)
            self._release_interval_s += SMOOTHING * (sample - self._release_interval_s)
        self._last_release = now
        self.dispatch()

    def dispatch(self):
        """Give free places to waiters, in fair order."""
        now = time.monotonic()
        for waiter in self._queue.pop_expired(now):
            waiter.payload.send_exception(self._refuse())
        while len(self._queue):
            chosen = []

            def accept(waiter, chosen=chosen):
                upstream = self._choose(waiter.payload.need, now)
                if upstream is not None:
                    chosen.append(upstream)
                return upstream is not None

            waiter = self._queue.pop_first(accept)
            if waiter is None:
                return
            waiter.payload.send(self._take(chosen[0]))

    @property
    def expected_wait_s(self):
        """The time in seconds that a newcomer should expect to wait."""
        return len(self._queue) * self._release_interval_s

    def _wait(self, need):
        event = _Place(need)
        waiter = Waiter(need.team, need.weight, need.priority, need.leave_by, event)
        evicted = self._queue.push(waiter)
        if evicted is waiter:
            raise self._refuse()
        if evicted is not None:
            evicted.payload.send_exception(self._refuse())
        timer = max(0.0, need.leave_by - time.monotonic())
        with eventlet.Timeout(timer, False):
            return event.wait()
        if self._queue.remove(waiter):
            raise self._refuse()
        # The place came in the very moment that the time ran out.
        return event.wait()

    def _check_wait(self, need, now):
        if now + self.expected_wait_s > need.leave_by:
            raise self._refuse()

    def _refuse(self):
        back_in_s = max(0.5, self.expected_wait_s)
        return RequestRefused(ErrorKind.OVERLOADED, retry_after_s=back_in_s)

    def _choose(self, need, now):
        return self._table.choose(
            need.pool, need.version, now, need.affinity_key, need.exclude
        )

    def _take(self, upstream):
        upstream.in_flight += 1
        return upstream


class _Place(Event):
    """An event that carries the upstream, or the refusal."""

    def __init__(self, need):
        super().__init__()
        self.need = need

"""Admission of requests to upstreams with free capacity."""

import functools
import math
import time
from dataclasses import dataclass

import eventlet
from eventlet.event import Event

from .._errors import ErrorKind, RequestRefused
from .._limits import FairQueue, Waiter

SMOOTHING = 0.05
MAX_RELEASE_INTERVAL_S = 1.0


@dataclass(frozen=True)
class AdmissionRequest:
    """The requirements of one request on an upstream.

    *start_deadline* is the latest useful start, on the monotonic clock. *exclude*
    holds ids of upstreams that must not be chosen.
    """

    team: str
    weight: float
    priority: int
    pool: str
    version: str | None
    affinity_key: str
    exclude: frozenset[str]
    start_deadline: float


class Admission:
    """Assigns requests to upstreams below their limits, in fair order.

    A request whose expected wait exceeds its start deadline is refused at once,
    with the expected wait as the time to retry after. If all upstreams are resting or
    limited, that time is the shortest wait for one of them.
    """

    def __init__(self, table, queue_limit):
        self._table = table
        self._queue = FairQueue(queue_limit)
        self._release_interval_s = 0.0
        self._last_release = None
        self._rest_timer = None

    def set_queue_limit(self, limit):
        """Set the maximum queue length, which the catalogue defines."""
        self._queue.limit = limit

    def acquire(self, request):
        """Return an upstream for *request*; :meth:`release` must follow.

        Raises :class:`RequestRefused` with the kind overloaded, no_upstream,
        upstreams_resting or upstreams_limited.
        """
        now = time.monotonic()
        self._check_accepted(request, now)
        if len(self._queue) == 0:
            upstream = self._choose_upstream(request, now)
            if upstream is not None:
                return self._reserve(upstream)
        self._check_expected_wait(request, now)
        return self._wait_in_queue(request)

    def can_start(self, request, now):
        """Return whether *request* would get an upstream that is free now.

        Nothing is reserved.
        """
        has_free = self._table.has_free(
            request.pool, request.version, now, request.exclude
        )
        return has_free and now + self.expected_wait_s <= request.start_deadline

    def release(self, upstream):
        """End a request at *upstream* and dispatch queued requests."""
        upstream.in_flight -= 1
        now = time.monotonic()
        if self._last_release is not None:
            sample = min(MAX_RELEASE_INTERVAL_S, now - self._last_release)
            self._release_interval_s += SMOOTHING * (sample - self._release_interval_s)
        self._last_release = now
        self.dispatch()

    def handle_notice(self):
        """Refuse queued requests that wait in vain, and dispatch the others.

        To be called after each notice of an upstream that is leaving or resting.
        """
        now = time.monotonic()
        for waiter in self._pop_in_vain(now):
            refusal = self._build_unaccepted_refusal(waiter.payload.request, now)
            waiter.payload.send_exception(refusal)
        self.dispatch()

    def get_rest_s(self, request, now):
        """Return for how many more seconds all upstreams rest, 0 if one doesn't.

        Upstreams that *request* excludes count as well: it may try them again.
        """
        staying = self._table.list_staying(request.pool, request.version, now)
        return min((upstream.get_rest_s(now) for upstream in staying), default=0.0)

    def get_wait_s(self, request, now):
        """Return in how many seconds an upstream may get *request*, as get_rest_s.

        Until then each one rests or its limit leaves no request.
        """
        staying = self._table.list_staying(request.pool, request.version, now)
        return min((upstream.get_wait_s(now) for upstream in staying), default=0.0)

    def dispatch(self):
        """Assign free capacity to queued requests in fair order."""
        now = time.monotonic()
        for waiter in self._queue.pop_expired(now):
            waiter.payload.send_exception(self._build_refusal())
        self._assign(now)
        self._schedule_dispatch(now)

    def _assign(self, now):
        while len(self._queue):
            chosen = []

            def accept(waiter, chosen=chosen):
                upstream = self._choose_upstream(waiter.payload.request, now)
                if upstream is not None:
                    chosen.append(upstream)
                return upstream is not None

            waiter = self._queue.pop_first(accept)
            if waiter is None:
                return
            waiter.payload.send(self._reserve(chosen[0]))

    @property
    def expected_wait_s(self):
        """The expected wait in seconds of a request that is queued now."""
        return len(self._queue) * self._release_interval_s

    def _wait_in_queue(self, request):
        event = _AdmissionEvent(request)
        waiter = Waiter(
            request.team,
            request.weight,
            request.priority,
            request.start_deadline,
            event,
        )
        evicted = self._queue.push(waiter)
        if evicted is waiter:
            raise self._build_refusal()
        if evicted is not None:
            evicted.payload.send_exception(self._build_refusal())
        now = time.monotonic()
        self._schedule_dispatch(now)
        timeout_s = max(0.0, request.start_deadline - now)
        with eventlet.Timeout(timeout_s, False):
            return event.wait()
        if self._queue.remove(waiter):
            raise self._build_refusal()
        # An upstream was assigned just as the timeout fired.
        return event.wait()

    def _schedule_dispatch(self, now):
        """Dispatch again when the next wait ends, if requests are queued then."""
        if self._rest_timer is not None:
            self._rest_timer.cancel()
            self._rest_timer = None
        wait_s = self._table.get_shortest_wait_s(now) if len(self._queue) else 0.0
        if wait_s > 0.0:
            self._rest_timer = eventlet.spawn_after(wait_s, self.dispatch)

    def _check_accepted(self, request, now):
        if not self._table.find(request.pool, request.version, now, request.exclude):
            raise self._build_unaccepted_refusal(request, now)

    def _build_unaccepted_refusal(self, request, now):
        rest_s = self.get_rest_s(request, now)
        wait_s = self.get_wait_s(request, now)
        if rest_s > 0.0:
            return RequestRefused(ErrorKind.UPSTREAMS_RESTING, retry_after_s=wait_s)
        if wait_s > 0.0:
            return RequestRefused(ErrorKind.UPSTREAMS_LIMITED, retry_after_s=wait_s)
        return RequestRefused(ErrorKind.NO_UPSTREAM)

    def _pop_in_vain(self, now):
        """Remove and return the waiters that can't start before their deadlines."""

        @functools.cache
        def get_wait_s(pool, version, exclude):
            staying = self._table.list_staying(pool, version, now, exclude)
            return min((u.get_wait_s(now) for u in staying), default=math.inf)

        def is_in_vain(waiter):
            request = waiter.payload.request
            wait_s = get_wait_s(request.pool, request.version, request.exclude)
            return now + wait_s > request.start_deadline

        return self._queue.pop_matching(is_in_vain)

    def _check_expected_wait(self, request, now):
        if now + self.expected_wait_s > request.start_deadline:
            raise self._build_refusal()

    def _build_refusal(self):
        retry_after_s = max(0.5, self.expected_wait_s)
        return RequestRefused(ErrorKind.OVERLOADED, retry_after_s=retry_after_s)

    def _choose_upstream(self, request, now):
        return self._table.choose(
            request.pool, request.version, now, request.affinity_key, request.exclude
        )

    def _reserve(self, upstream):
        upstream.in_flight += 1
        return upstream


class _AdmissionEvent(Event):
    """Delivers the assigned upstream or the refusal to a queued request."""

    def __init__(self, request):
        super().__init__()
        self.request = request

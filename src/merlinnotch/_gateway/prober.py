"""Background probes of upstreams that could not be reached."""

import logging
import random

import eventlet

from .._errors import ConnectFailed, ConnectRefused

logger = logging.getLogger("merlinnotch")

CONNECT_TIMEOUT_S = 0.3
MIN_PAUSE_S = 0.4
MAX_PAUSE_S = 2.0
"""Limit for the growing pause, which keeps the connection rate low during a network
partition."""
CONTACT_TTL_S = 0.3
"""Contact with another upstream that is at most this old shows that the instance isn't
partitioned from all of them."""
SAMPLE_SIZE = 3
"""Upstreams that are checked before all are."""
MAX_CHECKED = 64
CHECK_PAUSE_S = 0.5


class Prober:
    """Connects to unreachable upstreams until a connection succeeds.

    Until then placement prefers other upstreams, as a request sent there would wait for
    the connection timeout. Upstreams that accept no work get no connections.

    If one upstream becomes unreachable while there is no contact with others, a sample
    of the others is checked as well, and all of them if none of the sample answers.
    Otherwise each would be found unreachable by a request that fails there.

    *on_refused* is called with an upstream each time its host refuses the connection,
    unless all upstreams are unreachable: the network refuses them then.
    """

    def __init__(
        self,
        pool,
        loads,
        view,
        read_clock,
        on_refused=lambda upstream: None,
        generator=random,
    ):
        self._pool = pool
        self._loads = loads
        self._view = view
        self._read_clock = read_clock
        self._on_refused = on_refused
        self._generator = generator
        self._probed_starts = set()
        self._refused_starts = set()
        self._next_check_at = 0.0
        self._check = None

    def mark_unreachable(self, upstream, reason=""):
        """Mark *upstream* as unreachable until a probe connects to it.

        *reason* is logged.
        """
        if upstream.start not in self._probed_starts:
            self._probed_starts.add(upstream.start)
            self._loads.get(upstream).reachable = False
            fields = {"upstream": upstream.id, "reason": str(reason)}
            logger.info("upstream unreachable", extra=fields)
            eventlet.spawn_n(self._probe, upstream)
        self._start_check()

    def check(self, upstream):
        """Return whether *upstream* accepts a connection.

        One that doesn't answer is marked as unreachable.
        """
        try:
            self._connect(upstream)
        except ConnectRefused:
            return False
        except ConnectFailed as error:
            self.mark_unreachable(upstream, error)
            return False
        return True

    def _connect(self, upstream):
        connection = self._pool.acquire(
            upstream.start, upstream.address, CONNECT_TIMEOUT_S, force_new=True
        )
        self._loads.get(upstream).contacted_at = self._read_clock()
        self._pool.release(upstream.start, connection)

    def _start_check(self):
        """Start to check the other upstreams, unless one has been in contact."""
        now = self._read_clock()
        if now < self._next_check_at or self._has_contact(now):
            return
        self._next_check_at = now + CHECK_PAUSE_S
        self._check = eventlet.spawn(self._check_others)

    def _has_contact(self, now):
        return any(
            self._loads.get(upstream).was_contacted(CONTACT_TTL_S, now)
            for upstream in self._list_reachable(now)
        )

    def _list_all(self, now):
        configuration = self._view.configuration
        services = configuration.services if configuration else ()
        return [u for name in services for u in self._view.list_accepting(name, now)]

    def _list_reachable(self, now):
        return self._loads.list_reachable(self._list_all(now))

    def _check_others(self):
        reachable = self._list_reachable(self._read_clock())
        self._generator.shuffle(reachable)
        if self._check_all(reachable[:SAMPLE_SIZE]):
            return
        self._check_all(reachable[SAMPLE_SIZE:MAX_CHECKED])

    def _check_all(self, upstreams):
        """Connect to *upstreams* at once; return whether one of them answers.

        The silent ones are marked as unreachable, and those that refuse the connection
        if none answers. A single one may refuse as it is at its connection limit.
        """
        pile = eventlet.GreenPile(max(1, len(upstreams)))
        for upstream in upstreams:
            pile.spawn(self._find_failure, upstream)
        failures = dict(zip(upstreams, pile, strict=True))
        has_answer = None in failures.values()
        for upstream, failure in failures.items():
            if failure is None or (has_answer and isinstance(failure, ConnectRefused)):
                continue
            self.mark_unreachable(upstream, failure)
        return has_answer

    def _find_failure(self, upstream):
        """Return the :class:`ConnectFailed` of a connection, None if it succeeds."""
        try:
            self._connect(upstream)
        except ConnectFailed as error:
            return error
        return None

    def _probe(self, upstream):
        started_at = self._read_clock()
        pause_s = MIN_PAUSE_S
        try:
            while self._view.find_start(upstream.start) is not None:
                if self._may_connect(upstream) and self._reaches(upstream):
                    self._loads.get(upstream).reachable = True
                    self._log_reachable(upstream, started_at)
                    return
                eventlet.sleep(pause_s)
                pause_s = min(pause_s * 1.5, MAX_PAUSE_S)
        finally:
            self._probed_starts.discard(upstream.start)
            self._refused_starts.discard(upstream.start)

    def _log_reachable(self, upstream, unreachable_since):
        seconds = round(self._read_clock() - unreachable_since, 2)
        fields = {"upstream": upstream.id, "seconds": seconds}
        logger.info("upstream reachable again", extra=fields)

    def _may_connect(self, upstream):
        return self._view.accepts_work(upstream, self._read_clock())

    def _reaches(self, upstream):
        try:
            self._connect(upstream)
        except ConnectRefused:
            self._record_refused(upstream)
            return False
        except ConnectFailed:
            return False
        return True

    def _record_refused(self, upstream):
        if upstream.start not in self._refused_starts:
            self._refused_starts.add(upstream.start)
            logger.info("upstream refused connection", extra={"upstream": upstream.id})
        if self._check is not None:
            self._check.wait()
        if not self._is_isolated():
            self._on_refused(upstream)

    def _is_isolated(self):
        """Return whether there are several upstreams and all are unreachable."""
        upstreams = self._list_all(self._read_clock())
        return len(upstreams) > 1 and not self._loads.list_reachable(upstreams)

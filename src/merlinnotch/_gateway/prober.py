"""Finds out whether upstreams can be reached, without a caller's request."""

import logging

import eventlet

from .._errors import ConnectFailed, ConnectRefused

logger = logging.getLogger("merlinnotch")

CONNECT_S = 0.3
PAUSE_S = 0.4
MOST_PAUSE_S = 2.0
"""Pauses grow by half up to this: a path that healed is in use within seconds,
and an instance behind a long cut makes few connections."""


class Prober:
    """Connects to suspected upstreams until a connection comes about.

    Meanwhile they are the last choice. A request that has to find out by itself
    waits for its connection in vain, longer than a plain answer takes.

    *on_ended* is called with an upstream whose machine is there and refuses
    connections.
    """

    def __init__(self, pool, loads, view, on_ended=lambda upstream: None):
        self._pool = pool
        self._loads = loads
        self._view = view
        self._on_ended = on_ended
        self._suspects = set()
        self._ended = set()

    def suspect(self, upstream):
        """Leave *upstream* alone until it has been connected to."""
        if upstream.start in self._suspects:
            return
        self._suspects.add(upstream.start)
        self._loads.get(upstream).reachable = False
        eventlet.spawn_n(self._probe, upstream)

    def _probe(self, upstream):
        pause_s = PAUSE_S
        try:
            while self._view.find_start(upstream.start) is not None:
                if self._may_connect(upstream) and self._connect(upstream):
                    self._loads.get(upstream).reachable = True
                    logger.info("upstream reached", extra={"upstream": upstream.id})
                    return
                eventlet.sleep(pause_s)
                pause_s = min(pause_s * 1.5, MOST_PAUSE_S)
        finally:
            self._suspects.discard(upstream.start)
            self._ended.discard(upstream.start)

    def _may_connect(self, upstream):
        return not self._view.is_zone_evacuated(upstream.zone)

    def _connect(self, upstream):
        try:
            connection = self._pool.take(
                upstream.start, upstream.address, CONNECT_S, fresh=True
            )
        except ConnectRefused:
            if upstream.start not in self._ended:
                self._ended.add(upstream.start)
                logger.info("upstream ended", extra={"upstream": upstream.id})
                self._on_ended(upstream)
            return False
        except ConnectFailed:
            return False
        self._pool.give_back(upstream.start, connection)
        return True

"""Idle connections to upstreams, kept for the next request."""

import weakref

from .upstream import UpstreamConnection

DEFAULT_IDLE_S = 4.0
"""How long a connection stays idle where the upstream names no timeout."""
KEEP_ALIVE_SHARE = 0.5
"""Part of the upstream's own timeout in which a connection is used again, so
that a request seldom crosses the close."""
MAX_IDLE = 16


class UpstreamPool:
    """Connections by the start of an upstream and its address.

    A new connection costs a round trip and, at most upstreams, a moment of one
    slot; an idle one that has ended or was written to is never used.
    """

    def __init__(self, read_clock):
        self._read_clock = read_clock
        self._idle = {}
        self._busy = {}

    def take(self, start, address, connect_s, fresh=False):
        """Return a connection; raises :class:`ConnectFailed`.

        With *fresh* it is a new one.
        """
        connection = None if fresh else self._take_idle(start, address)
        if connection is None:
            connection = UpstreamConnection(address, self._read_clock, connect_s)
        # Weak: whoever has it may close it and never give it back.
        self._busy.setdefault(start, weakref.WeakSet()).add(connection)
        return connection

    def break_off(self, start):
        """End the exchanges under way with an upstream that started again."""
        for connection in self._busy.pop(start, ()):
            connection.break_off()

    def _take_idle(self, start, address):
        idle = self._idle.get((start, address), [])
        while idle:
            connection = idle.pop()
            if self._is_young(connection) and connection.is_usable():
                return connection
            connection.close()
        return None

    def give_back(self, start, connection):
        """Keep *connection* if another exchange can follow on it."""
        idle = self._idle.setdefault((start, connection.address), [])
        if len(idle) < MAX_IDLE and connection.make_reusable(self._read_clock()):
            idle.append(connection)
        else:
            connection.close()

    def drop(self, start):
        """Close the idle connections to one start of an upstream."""
        self._busy.pop(start, None)
        for key in [key for key in self._idle if key[0] == start]:
            for connection in self._idle.pop(key):
                connection.close()

    def close_old(self):
        """Close what has been idle for too long."""
        for key, idle in list(self._idle.items()):
            kept = [c for c in idle if self._is_young(c)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def _is_young(self, connection):
        limit = DEFAULT_IDLE_S
        if connection.keep_alive_s is not None:
            limit = connection.keep_alive_s * KEEP_ALIVE_SHARE
        return self._read_clock() - connection.idle_since < limit

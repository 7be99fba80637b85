"""Idle connections to upstreams, kept for the next request."""

from .upstream import UpstreamConnection

DEFAULT_IDLE_S = 4.0
"""How long a connection stays idle where the upstream names no timeout."""
KEEP_ALIVE_SHARE = 0.5
"""Part of the upstream's own timeout in which a connection is used again, so
that a request seldom crosses the close."""
MAX_IDLE = 16


class UpstreamPool:
    """Connections by upstream id and address.

    A new connection costs a round trip and, at most upstreams, a moment of one
    slot; an idle one that has ended or was written to is never used.
    """

    def __init__(self, read_clock):
        self._read_clock = read_clock
        self._idle = {}

    def take(self, upstream_id, address, connect_s, fresh=False):
        """Return a connection; raises :class:`ConnectFailed`.

        With *fresh* it is a new one.
        """
        idle = self._idle.get((upstream_id, address), [])
        while idle and not fresh:
            connection = idle.pop()
            if self._is_young(connection) and connection.is_usable():
                return connection
            connection.close()
        return UpstreamConnection(address, self._read_clock, connect_s)

    def give_back(self, upstream_id, connection):
        """Keep *connection* if another exchange can follow on it."""
        idle = self._idle.setdefault((upstream_id, connection.address), [])
        if len(idle) < MAX_IDLE and connection.make_reusable(self._read_clock()):
            idle.append(connection)
        else:
            connection.close()

    def drop(self, upstream_id):
        """Close the idle connections to one upstream."""
        for key in [key for key in self._idle if key[0] == upstream_id]:
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

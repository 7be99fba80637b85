"""A pool of persistent connections to upstreams."""

import weakref

from .upstream import UpstreamConnection

DEFAULT_IDLE_TIMEOUT_S = 4.0
"""Idle timeout for upstreams whose Keep-Alive field gives none."""
KEEP_ALIVE_SHARE = 0.5
"""Part of the upstream's own idle timeout within which a connection is reused, so that
a request is unlikely to coincide with its close."""
MAX_IDLE_CONNECTIONS = 16


class UpstreamPool:
    """The connections to upstreams, by upstream start and address.

    A new connection costs a round trip and, at most upstreams, briefly occupies a
    slot. An idle connection that was closed or has unexpected input is not reused.
    *source_host* is the local address of new connections, any if it is None.
    """

    def __init__(self, read_clock, source_host=None):
        self._read_clock = read_clock
        self._source_host = source_host
        self._idle_connections = {}
        self._busy_connections = {}

    def acquire(self, start, address, connect_timeout_s, force_new=False):
        """Return an idle connection, or a new one if there is none or with *force_new*.

        Raises :class:`ConnectFailed`.
        """
        connection = None if force_new else self._pop_idle(start, address)
        if connection is None:
            connection = UpstreamConnection(
                address, self._read_clock, connect_timeout_s, self._source_host
            )
        # Weak references, as a connection may be closed without being returned.
        self._busy_connections.setdefault(start, weakref.WeakSet()).add(connection)
        return connection

    def abort(self, start):
        """Abort the exchanges in progress with an upstream start that has ended."""
        for connection in self._busy_connections.pop(start, ()):
            connection.abort()

    def _pop_idle(self, start, address):
        idle = self._idle_connections.get((start, address), [])
        while idle:
            connection = idle.pop()
            if self._is_within_idle_timeout(connection) and connection.is_usable():
                return connection
            connection.close()
        return None

    def release(self, start, connection):
        """Keep *connection* for reuse if possible, otherwise close it."""
        idle = self._idle_connections.setdefault((start, connection.address), [])
        if len(idle) < MAX_IDLE_CONNECTIONS and connection.make_reusable(
            self._read_clock()
        ):
            idle.append(connection)
        else:
            connection.close()

    def close_start(self, start):
        """Close the idle connections to a start of an upstream."""
        self._busy_connections.pop(start, None)
        for key in [key for key in self._idle_connections if key[0] == start]:
            for connection in self._idle_connections.pop(key):
                connection.close()

    def close_expired(self):
        """Close the connections that have exceeded their idle timeout."""
        for key, idle in list(self._idle_connections.items()):
            kept = [c for c in idle if self._is_within_idle_timeout(c)]
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle_connections[key] = kept
            else:
                del self._idle_connections[key]

    def _is_within_idle_timeout(self, connection):
        timeout_s = DEFAULT_IDLE_TIMEOUT_S
        if connection.keep_alive_timeout_s is not None:
            timeout_s = connection.keep_alive_timeout_s * KEEP_ALIVE_SHARE
        return self._read_clock() - connection.idle_since < timeout_s

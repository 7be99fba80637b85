"""Client connections to peers: requests and replies over one WebSocket."""

import itertools
import time

import eventlet
import websockets
from eventlet.event import Event
from websockets.sync.client import connect

from .._errors import MerlinnotchError
from .._peers import decode_message, encode_message

CONNECT_TIMEOUT_S = 0.5
MAX_MESSAGE_BYTES = 4 << 20
IDLE_TIMEOUT_S = 30.0
"""Longer than gossip partners go without a request, so that their links stay open."""


class PeerUnreachable(MerlinnotchError):
    """A peer did not reply in time. *sent* is true if it may have got the request."""

    def __init__(self, address, sent):
        super().__init__(f"no reply from {address}")
        self.sent = sent


class _Connection:
    """One WebSocket and the events of its pending requests by correlation id.

    It is *retired* after a request has timed out: it carries no new requests, but
    the pending ones may still get their replies.
    """

    def __init__(self, socket):
        self.socket = socket
        self.pending_replies = {}
        self.is_retired = False

    def fail_pending(self):
        """End all pending requests without a reply."""
        pending, self.pending_replies = self.pending_replies, {}
        for event in pending.values():
            if not event.ready():
                event.send(None)


class PeerLink:
    """A connection to a peer, opened on first use.

    After a request has timed out, the next one opens a new connection, because the
    old one may be broken. The old one stays open for its pending requests with longer
    timeouts, which a peer that was only paused still answers.
    """

    def __init__(self, address, peer_key, source_ip, metrics):
        self.address = address
        self._peer_key = peer_key
        self._source_ip = source_ip
        self._metrics = metrics
        self._connection = None
        self._correlation_ids = itertools.count(1)
        self._pending_count = 0
        self._open_lock = eventlet.semaphore.Semaphore()
        self._last_used_at = float("-inf")

    def request(self, message, timeout_s):
        """Return the peer's reply.

        Raises :class:`PeerUnreachable` if there is none within *timeout_s* seconds.
        """
        self._last_used_at = time.monotonic()
        connection = self._open()
        self._pending_count += 1
        try:
            reply = self._send_and_wait(connection, message, timeout_s)
        finally:
            self._pending_count -= 1
            if connection.is_retired and not connection.pending_replies:
                eventlet.spawn(_close_quietly, connection.socket)
        if reply is None:
            raise PeerUnreachable(self.address, sent=True)
        return reply

    def is_idle(self, now):
        """Return whether no request is pending or was made within the idle timeout."""
        return not self._pending_count and now - self._last_used_at > IDLE_TIMEOUT_S

    def close(self):
        """Close the connection, if one is open."""
        if self._connection is not None:
            self._discard(self._connection)

    def _send_and_wait(self, connection, message, timeout_s):
        """Return the reply, or None if the connection fails or none arrives in time."""
        correlation_id = next(self._correlation_ids)
        event = connection.pending_replies[correlation_id] = Event()
        try:
            with self._metrics.measure_control():
                data = encode_message(message, correlation_id)
            self._metrics.control_bytes.labels("out").inc(len(data))
            with eventlet.Timeout(timeout_s, False):
                connection.socket.send(data)
                return event.wait()
            self._retire(connection)
        except (OSError, websockets.ConnectionClosed):
            self._discard(connection)
        finally:
            connection.pending_replies.pop(correlation_id, None)
        return None

    def _open(self):
        with self._open_lock:
            if self._connection is None:
                self._connection = _Connection(self._connect())
                eventlet.spawn(self._receive_replies, self._connection)
            return self._connection

    def _connect(self):
        try:
            return connect(
                f"ws://{self.address}/",
                additional_headers={"Authorization": f"Bearer {self._peer_key}"},
                source_address=(self._source_ip, 0),
                open_timeout=CONNECT_TIMEOUT_S,
                close_timeout=CONNECT_TIMEOUT_S,
                ping_interval=None,
                compression=None,
                proxy=None,
                max_size=MAX_MESSAGE_BYTES,
            )
        except (OSError, websockets.WebSocketException) as error:
            raise PeerUnreachable(self.address, sent=False) from error

    def _receive_replies(self, connection):
        try:
            for data in connection.socket:
                self._metrics.control_bytes.labels("in").inc(len(data))
                with self._metrics.measure_control():
                    correlation_id, message = decode_message(data)
                event = connection.pending_replies.get(correlation_id)
                if event is not None and not event.ready():
                    event.send(message)
        except (OSError, ValueError, websockets.ConnectionClosed):
            pass
        self._discard(connection)

    def _retire(self, connection):
        connection.is_retired = True
        if self._connection is connection:
            self._connection = None

    def _discard(self, connection):
        self._retire(connection)
        connection.fail_pending()
        eventlet.spawn(_close_quietly, connection.socket)


def _close_quietly(socket):
    try:
        socket.close()
    except (OSError, websockets.ConnectionClosed):
        return

"""Links to peers: requests and replies over one websocket."""

import itertools
import time

import eventlet
import websockets
from eventlet.event import Event
from websockets.sync.client import connect

from .._errors import MerlinnotchError
from .._peers import decode_message, encode_message

OPEN_TIMEOUT_S = 0.5
MAX_MESSAGE_BYTES = 4 << 20
IDLE_CLOSE_S = 30.0
"""Longer than partners stay silent, so that only strangers' links close."""


class PeerUnreachable(MerlinnotchError):
    """A peer gave no reply in time; *sent* tells whether it may have heard."""

    def __init__(self, address, sent):
        super().__init__(f"no reply from {address}")
        self.sent = sent


class _Channel:
    """One websocket and the replies that are waited for on it.

    It is *retired* once a request got no reply in time: nothing new is asked on it,
    but what it still owes may come.
    """

    def __init__(self, socket):
        self.socket = socket
        self.replies = {}
        self.retired = False

    def fail_all(self):
        """Tell all who wait that nothing will come."""
        waiting, self.replies = self.replies, {}
        for reply in waiting.values():
            if not reply.ready():
                reply.send(None)


class PeerLink:
    """One connection to a peer, opened when first needed.

    After a request without a reply in time the next one opens a new connection, as
    this one may have gone silent. It stays open for the requests that allow more
    time: a peer that was paused for a second and a half answers them afterwards.
    """

    def __init__(self, address, peer_key, source_ip, metrics):
        self.address = address
        self._peer_key = peer_key
        self._source_ip = source_ip
        self._metrics = metrics
        self._channel = None
        self._correlations = itertools.count(1)
        self._waiting = 0
        self._opening = eventlet.semaphore.Semaphore()
        self._used_at = float("-inf")

    def request(self, message, timeout_s):
        """Return the peer's reply; raises :class:`PeerUnreachable`."""
        self._used_at = time.monotonic()
        channel = self._open()
        self._waiting += 1
        try:
            answer = self._ask(channel, message, timeout_s)
        finally:
            self._waiting -= 1
            if channel.retired and not channel.replies:
                eventlet.spawn(_close_quietly, channel.socket)
        if answer is None:
            raise PeerUnreachable(self.address, sent=True)
        return answer

    def is_idle(self, now):
        """Whether nothing was asked for long, so that the link may close."""
        return not self._waiting and now - self._used_at > IDLE_CLOSE_S

    def close(self):
        """Close the connection, if one is open."""
        if self._channel is not None:
            self._drop(self._channel)

    def _ask(self, channel, message, timeout_s):
        """Return the reply, or None where none came in time."""
        correlation = next(self._correlations)
        reply = channel.replies[correlation] = Event()
        try:
            with self._metrics.measure_control():
                data = encode_message(message, correlation)
            self._metrics.control_bytes.labels("out").inc(len(data))
            with eventlet.Timeout(timeout_s, False):
                channel.socket.send(data)
                return reply.wait()
            self._retire(channel)
        except (OSError, websockets.ConnectionClosed):
            self._drop(channel)
        finally:
            channel.replies.pop(correlation, None)
        return None

    def _open(self):
        with self._opening:
            if self._channel is None:
                self._channel = _Channel(self._connect())
                eventlet.spawn(self._read, self._channel)
            return self._channel

    def _connect(self):
        try:
            return connect(
                f"ws://{self.address}/",
                additional_headers={"Authorization": f"Bearer {self._peer_key}"},
                source_address=(self._source_ip, 0),
                open_timeout=OPEN_TIMEOUT_S,
                close_timeout=OPEN_TIMEOUT_S,
                ping_interval=None,
                compression=None,
                proxy=None,
                max_size=MAX_MESSAGE_BYTES,
            )
        except (OSError, websockets.WebSocketException) as error:
            raise PeerUnreachable(self.address, sent=False) from error

    def _read(self, channel):
        try:
            for data in channel.socket:
                self._metrics.control_bytes.labels("in").inc(len(data))
                with self._metrics.measure_control():
                    correlation, message = decode_message(data)
                reply = channel.replies.get(correlation)
                if reply is not None and not reply.ready():
                    reply.send(message)
        except (OSError, ValueError, websockets.ConnectionClosed):
            pass
        self._drop(channel)

    def _retire(self, channel):
        channel.retired = True
        if self._channel is channel:
            self._channel = None

    def _drop(self, channel):
        self._retire(channel)
        channel.fail_all()
        eventlet.spawn(_close_quietly, channel.socket)


def _close_quietly(socket):
    try:
        socket.close()
    except (OSError, websockets.ConnectionClosed):
        return

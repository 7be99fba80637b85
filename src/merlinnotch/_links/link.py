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


class PeerLink:
    """One connection to a peer, opened when first needed.

    A request without a reply in time closes the connection, so that a link
    that has gone silent is not used again; the next request opens a new one.
    """

    def __init__(self, address, peer_key, source_ip, metrics):
        self.address = address
        self._peer_key = peer_key
        self._source_ip = source_ip
        self._metrics = metrics
        self._socket = None
        self._correlations = itertools.count(1)
        self._replies = {}
        self._opening = eventlet.semaphore.Semaphore()
        self._used_at = float("-inf")

    def request(self, message, timeout_s):
        """Return the peer's reply; raises :class:`PeerUnreachable`."""
        self._used_at = time.monotonic()
        socket = self._open()
        correlation = next(self._correlations)
        reply = self._replies[correlation] = Event()
        try:
            with self._metrics.measure_control():
                data = encode_message(message, correlation)
            self._metrics.control_bytes.labels("out").inc(len(data))
            with eventlet.Timeout(timeout_s, False):
                socket.send(data)
                answer = reply.wait()
                if answer is not None:
                    return answer
        except (OSError, websockets.ConnectionClosed):
            pass
        finally:
            self._replies.pop(correlation, None)
        self._drop(socket)
        raise PeerUnreachable(self.address, sent=True)

    def is_idle(self, now):
        """Whether nothing was asked for long, so that the link may close."""
        return not self._replies and now - self._used_at > IDLE_CLOSE_S

    def close(self):
        """Close the connection, if one is open."""
        if self._socket is not None:
            self._drop(self._socket)

    def _open(self):
        with self._opening:
            if self._socket is None:
                self._socket = self._connect()
                eventlet.spawn(self._read, self._socket)
            return self._socket

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

    def _read(self, socket):
        try:
            for data in socket:
                self._metrics.control_bytes.labels("in").inc(len(data))
                with self._metrics.measure_control():
                    correlation, message = decode_message(data)
                reply = self._replies.get(correlation)
                if reply is not None and not reply.ready():
                    reply.send(message)
        except (OSError, ValueError, websockets.ConnectionClosed):
            pass
        self._drop(socket)

    def _drop(self, socket):
        if self._socket is socket:
            self._socket = None
            waiting, self._replies = self._replies, {}
            for reply in waiting.values():
                if not reply.ready():
                    reply.send(None)
            eventlet.spawn(_close_quietly, socket)


def _close_quietly(socket):
    try:
        socket.close()
    except (OSError, websockets.ConnectionClosed):
        return

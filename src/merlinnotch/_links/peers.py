"""The WebSocket server for peers, and the links to other instances."""

import hmac
import logging

import eventlet
import websockets
from websockets.sync.server import serve

from .._peers import decode_message, encode_message
from .link import MAX_MESSAGE_BYTES, PeerLink

logger = logging.getLogger("merlinnotch")


class PeerTransport:
    """Sends requests to other instances and replies to theirs.

    *handlers* maps message types to functions that take a message and return the
    reply.
    """

    def __init__(self, settings, metrics):
        self._settings = settings
        self._metrics = metrics
        self._source_ip = settings.peer_address.partition(":")[0]
        self._links_by_address = {}
        self.handlers = {}
        self._server = None

    def start(self):
        """Start listening for peers."""
        host, _, port = self._settings.peer_address.partition(":")
        self._server = serve(
            self._serve_connection,
            host,
            int(port),
            process_request=self._check_authorization,
            ping_interval=None,
            compression=None,
            close_timeout=1,
            max_size=MAX_MESSAGE_BYTES,
        )
        eventlet.spawn(self._server.serve_forever)

    def stop(self):
        """Stop listening and close all links."""
        for link in self._links_by_address.values():
            link.close()
        if self._server is not None:
            self._server.shutdown()

    def request(self, address, message, timeout_s):
        """Return the reply of the peer at *address*.

        Raises :class:`PeerUnreachable` if there is none within *timeout_s* seconds.
        """
        link = self._links_by_address.get(address)
        if link is None:
            link = PeerLink(
                address, self._settings.peer_key, self._source_ip, self._metrics
            )
            self._links_by_address[address] = link
        return link.request(message, timeout_s)

    def close_idle(self, now):
        """Close the idle links; *now* is a time on the monotonic clock."""
        for address, link in list(self._links_by_address.items()):
            if link.is_idle(now):
                del self._links_by_address[address]
                link.close()

    def _check_authorization(self, connection, request):
        received = request.headers.get("Authorization", "")
        expected = f"Bearer {self._settings.peer_key}"
        if hmac.compare_digest(received.encode(), expected.encode()):
            return None
        return connection.respond(401, "unknown peer key\n")

    def _serve_connection(self, connection):
        try:
            for data in connection:
                self._metrics.control_bytes.labels("in").inc(len(data))
                eventlet.spawn(self._handle_request, connection, data)
        except (OSError, websockets.ConnectionClosed):
            return

    def _handle_request(self, connection, data):
        with self._metrics.measure_control():
            correlation_id, message = decode_message(data)
        reply = self.handlers[type(message)](message)
        with self._metrics.measure_control():
            data = encode_message(reply, correlation_id)
        self._metrics.control_bytes.labels("out").inc(len(data))
        try:
            connection.send(data)
        except (OSError, websockets.ConnectionClosed):
            return

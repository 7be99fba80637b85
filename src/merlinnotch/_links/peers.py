"""The peer server, and the links to other instances."""

import hmac
import logging

import eventlet
import websockets
from websockets.sync.server import serve

from .._peers import decode_message, encode_message
from .link import MAX_MESSAGE_BYTES, PeerLink

logger = logging.getLogger("merlinnotch")


class Peers:
    """Owns all peer sockets of an instance.

    *handlers* maps message types to functions that take the message and
    return the reply.
    """

    def __init__(self, settings, metrics):
        self._settings = settings
        self._metrics = metrics
        self._source_ip = settings.peer_address.partition(":")[0]
        self._links = {}
        self.handlers = {}
        self._server = None

    def start(self):
        """Start to listen for peers."""
        host, _, port = self._settings.peer_address.partition(":")
        self._server = serve(
            self._serve_link,
            host,
            int(port),
            process_request=self._check_key,
            ping_interval=None,
            compression=None,
            close_timeout=1,
            max_size=MAX_MESSAGE_BYTES,
        )
        eventlet.spawn(self._server.serve_forever)

    def stop(self):
        """Stop to listen, and close all links."""
        for link in self._links.values():
            link.close()
        if self._server is not None:
            self._server.shutdown()

    def request(self, address, message, timeout_s):
        """Return the reply of the peer at *address*.

        Raises :class:`PeerUnreachable` after *timeout_s* seconds.
        """
        link = self._links.get(address)
        if link is None:
            link = PeerLink(
                address, self._settings.peer_key, self._source_ip, self._metrics
            )
            self._links[address] = link
        return link.request(message, timeout_s)

    def close_idle(self, now):
        """Close the links that nothing has used for long; *now* is monotonic."""
        for address, link in list(self._links.items()):
            if link.is_idle(now):
                del self._links[address]
                link.close()

    def _check_key(self, connection, request):
        given = request.headers.get("Authorization", "")
        wanted = f"Bearer {self._settings.peer_key}"
        if hmac.compare_digest(given.encode(), wanted.encode()):
            return None
        return connection.respond(401, "unknown peer key\n")

    def _serve_link(self, connection):
        try:
            for data in connection:
                self._metrics.control_bytes.labels("in").inc(len(data))
                eventlet.spawn(self._answer, connection, data)
        except (OSError, websockets.ConnectionClosed):
            return

    def _answer(self, connection, data):
        with self._metrics.measure_control():
            correlation, message = decode_message(data)
        reply = self.handlers[type(message)](message)
        with self._metrics.measure_control():
            data = encode_message(reply, correlation)
        self._metrics.control_bytes.labels("out").inc(len(data))
        try:
            connection.send(data)
        except (OSError, websockets.ConnectionClosed):
            return

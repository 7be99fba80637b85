"""Datagrams that tell the other instances which prompts were sent where."""

import logging

import cbor2
from eventlet.green import socket

logger = logging.getLogger("merlinnotch")

MIN_MS = 30.0
"""Shorter prompts are not worth a message to eight instances; in a larger fleet
the bound grows with it, so that what one instance hears stays the same."""
FLEET = 8
MAX_BYTES = 512


class WorkNews:
    """Sends and receives (upstream, milliseconds) over UDP.

    A lost datagram does no harm, so nothing is acknowledged. *note_work* is
    called with each one received.
    """

    def __init__(self, address, name, view, note_work):
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        self._name = name
        self._view = view
        self._note_work = note_work

    def tell(self, upstream_id, reading_ms):
        """Tell all peers of a prompt that was sent to an upstream."""
        peers = self._view.peers
        if reading_ms < MIN_MS * max(1.0, len(peers) / FLEET):
            return
        data = cbor2.dumps([upstream_id, int(reading_ms)])
        for peer in list(peers.values()):
            if peer.name != self._name:
                self.send(data, peer.address)

    def run(self):
        """Receive until the process ends."""
        while True:
            data, _ = self._socket.recvfrom(MAX_BYTES)
            try:
                upstream_id, reading_ms = cbor2.loads(data)
                self._note_work(upstream_id, float(reading_ms))
            except (ValueError, TypeError) as error:
                logger.warning("datagram rejected", extra={"reason": str(error)})

    def close(self):
        """Stop listening."""
        self._socket.close()

    def send(self, data, address):
        """Send one datagram; a failure is only logged."""
        host, _, port = address.rpartition(":")
        try:
            self._socket.sendto(data, (host, int(port)))
        except OSError as error:
            logger.info("datagram not sent", extra={"reason": str(error)})

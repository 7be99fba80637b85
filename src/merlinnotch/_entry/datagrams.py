"""UDP transport for short messages between instances."""

import enum
import logging

import cbor2
import eventlet
from eventlet.green import socket

from .._cbor import decode_cbor

logger = logging.getLogger("merlinnotch")

MAX_DATAGRAM_BYTES = 1400
"""Fits the MTU of a usual link: a datagram is lost with any one of its fragments."""

MAX_DATAGRAMS_PER_TURN = 64


class MessageKind(enum.IntEnum):
    """Type of a message, its first element on the wire."""

    LOAD = 1
    CHANGES = 2
    TALLY = 3
    BAD_VERSION = 4
    LOAD_SUMS = 5
    LOAD_FORWARDED = 6
    LOSSES = 7
    CLEARED = 8
    BLOCKED = 9
    PERMIT_REQUEST = 10
    PERMIT_ANSWER = 11
    PERMIT_RETURN = 12
    LIMIT_REPORT = 13
    BAD_ANSWERS = 14
    RELAY_QUESTION = 15
    RELAY_ANSWER = 16
    SLOT_QUESTION = 17
    SLOT_ANSWER = 18
    SLOT_RELEASE = 19
    BRITTLE = 20
    PART_LOSSES = 21
    STORE_CHANGES = 22
    TOTALS_REPORT = 23
    ZONE_TOTALS = 24
    ZONE_TOTALS_FORWARDED = 25


class DatagramTransport:
    """UDP socket that dispatches received messages by kind.

    Messages are not acknowledged; senders have to tolerate loss. A handler gets the
    decoded body and raises ValueError or TypeError if it is invalid. *record_bytes* is
    called with the size of each datagram that is sent.
    """

    def __init__(self, address, record_bytes=lambda size: None):
        self._record_bytes = record_bytes
        host, _, port = address.rpartition(":")
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, int(port)))
        self._handlers = {}

    def handle(self, kind, handler):
        """Register *handler* for the bodies of messages of *kind*."""
        self._handlers[kind] = handler

    def send(self, kind, body, addresses):
        """Send to all *addresses*; return False if the message is too long."""
        data = cbor2.dumps([int(kind), body])
        if len(data) > MAX_DATAGRAM_BYTES:
            return False
        for address in addresses:
            self.send_bytes(data, address)
        return True

    def send_bytes(self, data, address):
        """Send one datagram; errors are only logged."""
        host, _, port = address.rpartition(":")
        self._record_bytes(len(data))
        try:
            self._socket.sendto(data, (host, int(port)))
        except OSError as error:
            logger.info("failed to send datagram", extra={"reason": str(error)})

    def run(self):
        """Receive and dispatch messages until the process ends."""
        while True:
            for _ in range(MAX_DATAGRAMS_PER_TURN):
                self._dispatch_next()
            # While messages are there, receiving them lets no other task run.
            eventlet.sleep(0)

    def _dispatch_next(self):
        data, _ = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
        try:
            kind, body = decode_cbor(data)
            self._handlers[kind](body)
        except (ValueError, TypeError, KeyError) as error:
            logger.warning("invalid datagram dropped", extra={"reason": repr(error)})

    def close(self):
        """Close the socket."""
        self._socket.close()

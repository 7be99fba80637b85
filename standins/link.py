"""Stand-in of a machine's network link: a limited rate in each direction, in order."""

import struct

import eventlet
from eventlet.green import socket, time

HEADER_BYTES = 60
"""A packet without data."""
PACKET_DATA_BYTES = 1440
WINDOW_BYTES = 14400
"""Bytes that a sender has under way, those of TCP's initial window."""
RESET = struct.pack("ii", 1, 0)
RESET_DELAY_S = 0.01


class Direction:
    """One direction of a link that carries *bytes_per_s*.

    *carried_bytes* counts what has entered it.
    """

    def __init__(self, bytes_per_s):
        self._bytes_per_s = bytes_per_s
        self._is_free_at = 0.0
        self.carried_bytes = 0

    def carry(self, size):
        """Return once *size* bytes of data, and their packets' headers, are through."""
        packets = max(1, -(-size // PACKET_DATA_BYTES))
        wire_bytes = size + packets * HEADER_BYTES
        self.carried_bytes += wire_bytes
        now = time.monotonic()
        self._is_free_at = max(now, self._is_free_at) + wire_bytes / self._bytes_per_s
        eventlet.sleep(self._is_free_at - now)

    @property
    def queue_s(self):
        """How long a byte that enters now has to wait."""
        return max(0.0, self._is_free_at - time.monotonic())


class Link:
    """The link of one machine, with what it receives and what it sends."""

    def __init__(self, bytes_per_s):
        self.inbound = Direction(bytes_per_s)
        self.outbound = Direction(bytes_per_s)


class LinkProxy:
    """Forwards connections to *target*, host:port, over a link.

    *there* is the :class:`Direction` from the side that connects to the target, *back*
    the other one. As with TCP, a caller sends its first window as soon as the target's
    kernel has accepted the connection, whatever the target does with it then.
    """

    def __init__(self, target, there, back):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._there = there
        self._back = back
        self._listener = eventlet.listen(("127.0.0.1", 0), backlog=1024)
        self.address = "{}:{}".format(*self._listener.getsockname())
        eventlet.spawn(self._accept)

    def _accept(self):
        while True:
            source, _ = self._listener.accept()
            eventlet.spawn_n(self._connect, source)

    def _connect(self, source):
        self._there.carry(0)
        try:
            target = socket.create_connection(self._target)
        except OSError:
            self._back.carry(0)
            _reset(source)
            return
        self._back.carry(0)
        replies = eventlet.spawn(self._forward_replies, target, source)
        _forward(source, target, self._there)
        replies.wait()
        source.close()
        target.close()

    def _forward_replies(self, target, source):
        # Nothing follows the handshake before the caller's part of it.
        self._there.carry(0)
        _forward(target, source, self._back)


def _forward(source, destination, direction):
    try:
        while data := _receive(source):
            direction.carry(len(data))
            destination.sendall(data)
        direction.carry(0)
        destination.shutdown(socket.SHUT_WR)
    except OSError:
        direction.carry(0)
        _reset(source)
        _reset(destination)


def _receive(sock):
    """Return the next bytes; raises OSError for a reset.

    Green sockets report a reset as the end of the stream.
    """
    while True:
        try:
            return sock.fd.recv(WINDOW_BYTES)
        except BlockingIOError:
            eventlet.hubs.trampoline(sock.fileno(), read=True)


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        # Wakes the green thread that reads from it.
        sock.shutdown(socket.SHUT_RD)
        eventlet.sleep(RESET_DELAY_S)
        sock.close()
    except OSError:
        return

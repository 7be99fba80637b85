"""A loopback TCP proxy that delays, stalls or resets connections."""

import enum

import eventlet
from eventlet.green import socket

RECV_SIZE = 65536
POLL_INTERVAL_S = 0.02


class ProxyMode(enum.Enum):
    """Treatment of the bytes of all connections, open and new."""

    FORWARD = "forward"
    DELAY = "delay"
    STALL = "stall"
    STALL_REPLIES = "stall-replies"


class Proxy:
    """Forwards connections to *target*, a (host, port) pair.

    *name* is that of the instance or upstream whose connections it forwards.
    Stalled bytes are delivered when the mode changes, as after a network partition.
    *delay_s* applies to each block of bytes in mode DELAY.
    """

    def __init__(self, name, target, delay_s=0.15):
        self.name = name
        self._target = target
        self._delay_s = delay_s
        self._sockets = set()
        self.mode = ProxyMode.FORWARD
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._thread = eventlet.spawn(self._accept)

    def close(self):
        """Stop listening and reset all connections."""
        self._thread.kill()
        self._listener.close()
        self.reset()

    def reset(self):
        """Reset all open connections."""
        for sock in list(self._sockets):
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # Already closed by the peer.
                continue

    def _accept(self):
        while True:
            client, _ = self._listener.accept()
            eventlet.spawn_n(self._connect, client)

    def _connect(self, client):
        try:
            server = socket.create_connection(self._target, timeout=2.0)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        self._sockets |= {client, server}
        reply_thread = eventlet.spawn(self._forward, server, client, True)
        self._forward(client, server, False)
        reply_thread.wait()
        self._sockets -= {client, server}
        client.close()
        server.close()

    def _forward(self, source, destination, is_reply):
        try:
            while data := source.recv(RECV_SIZE):
                self._apply_mode(is_reply)
                destination.sendall(data)
            destination.shutdown(socket.SHUT_WR)
        except OSError:
            self._shut_down(source, destination)

    def _shut_down(self, *sockets):
        """Shut down both sockets, so that the other direction ends as well."""
        for sock in sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def _apply_mode(self, is_reply):
        if self.mode is ProxyMode.DELAY:
            eventlet.sleep(self._delay_s)
        while self.mode is ProxyMode.STALL or (
            self.mode is ProxyMode.STALL_REPLIES and is_reply
        ):
            eventlet.sleep(POLL_INTERVAL_S)

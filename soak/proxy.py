"""A loopback proxy that harms the connections through it."""

import enum

import eventlet
from eventlet.green import socket

BLOCK = 65536
POLL_S = 0.02


class Harm(enum.Enum):
    """What is done to the bytes of all connections, old and new."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one-way"


class Proxy:
    """Forwards connections to *target*, a (host, port) pair.

    Bytes that are held up by silence are delivered when it ends, as after a
    partition. :meth:`reset` ends all open connections with a reset.
    """

    def __init__(self, target, delay_s=0.15):
        self._target = target
        self._delay_s = delay_s
        self._open = set()
        self.harm = Harm.NONE
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._thread = eventlet.spawn(self._accept)

    def close(self):
        """Stop listening and end all connections."""
        self._thread.kill()
        self._listener.close()
        self.reset()

    def reset(self):
        """End all open connections with a reset."""
        for sock in list(self._open):
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The other side was sooner.
                continue

    def _accept(self):
        while True:
            near, _ = self._listener.accept()
            eventlet.spawn_n(self._join, near)

    def _join(self, near):
        try:
            far = socket.create_connection(self._target, timeout=2.0)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        self._open |= {near, far}
        back = eventlet.spawn(self._pump, far, near, True)
        self._pump(near, far, False)
        back.wait()
        self._open -= {near, far}
        near.close()
        far.close()

    def _pump(self, source, sink, is_back):
        try:
            while data := source.recv(BLOCK):
                self._hold(is_back)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self._cut(source, sink)

    def _cut(self, *socks):
        """Let the other direction end as well."""
        for sock in socks:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def _hold(self, is_back):
        if self.harm is Harm.DELAY:
            eventlet.sleep(self._delay_s)
        while self.harm is Harm.SILENCE or (self.harm is Harm.ONE_WAY and is_back):
            eventlet.sleep(POLL_S)

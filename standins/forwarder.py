"""Forwarding sockets between instances, which tests can cut."""

import contextlib
import socket
import threading

CHUNK = 65536


class Forwarder:
    """Forwards *address* to *target* until a source address is cut off.

    A cut is silent in both directions: connections stay open and nothing
    comes through, as when something between two ends has lost track of them.
    """

    def __init__(self, address, target):
        self._target = _split(target)
        self._cut = set()
        self._closed = False
        self._listener = socket.create_server(_split(address), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, sources):
        """Cut off connections that come from *sources*, host addresses."""
        self._cut = set(sources)

    def close(self):
        """Stop to accept connections."""
        self._closed = True
        self._listener.close()

    def _accept(self):
        while not self._closed:
            try:
                near, (source, _) = self._listener.accept()
            except OSError:
                return
            start = threading.Thread(
                target=self._connect, args=(near, source), daemon=True
            )
            start.start()

    def _connect(self, near, source):
        try:
            far = socket.create_connection(self._target, timeout=2)
        except OSError:
            near.close()
            return
        far.settimeout(None)
        for pair in ((near, far), (far, near)):
            threading.Thread(
                target=self._pump, args=(*pair, source), daemon=True
            ).start()

    def _pump(self, origin, destination, source):
        with contextlib.suppress(OSError):
            while data := origin.recv(CHUNK):
                # What comes during a cut is lost, and so is the connection.
                if source in self._cut:
                    return
                destination.sendall(data)
        if source not in self._cut:
            for end in (origin, destination):
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)


def _split(address):
    host, _, port = address.partition(":")
    return host, int(port)

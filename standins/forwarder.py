"""TCP forwarders between instances that simulate network partitions."""

import contextlib
import socket
import threading

RECV_SIZE = 65536


class Forwarder:
    """Forwards connections from *address* to *target*, both host:port.

    Connections of a blocked source stay open and drop all bytes in both directions,
    as behind a firewall that has lost the connection state.
    """

    def __init__(self, address, target):
        self._target = _parse_address(target)
        self._blocked_sources = set()
        self._closed = False
        self._listener = socket.create_server(_parse_address(address), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def block(self, sources):
        """Block connections from *sources*, IP addresses; replaces the earlier set."""
        self._blocked_sources = set(sources)

    def close(self):
        """Stop accepting connections."""
        self._closed = True
        self._listener.close()

    def _accept(self):
        while not self._closed:
            try:
                client, (source, _) = self._listener.accept()
            except OSError:
                return
            thread = threading.Thread(
                target=self._connect, args=(client, source), daemon=True
            )
            thread.start()

    def _connect(self, client, source):
        try:
            server = socket.create_connection(self._target, timeout=2)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        for pair in ((client, server), (server, client)):
            threading.Thread(
                target=self._forward, args=(*pair, source), daemon=True
            ).start()

    def _forward(self, origin, destination, source):
        with contextlib.suppress(OSError):
            while data := origin.recv(RECV_SIZE):
                # Bytes sent while blocked are lost, which breaks the connection.
                if source in self._blocked_sources:
                    return
                destination.sendall(data)
        if source not in self._blocked_sources:
            for sock in (origin, destination):
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


def _parse_address(address):
    host, _, port = address.partition(":")
    return host, int(port)

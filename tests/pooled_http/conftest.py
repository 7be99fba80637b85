"""A server that sends given bytes."""

import socket
import threading

import pytest


class RawServer:
    """Sends *data* in return for the first bytes of each connection, then closes it."""

    def __init__(self, data):
        self._data = data
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with sock:
            try:
                sock.recv(65536)
                self.send(sock)
            except OSError:
                return

    def send(self, sock):
        """Send the response."""
        sock.sendall(self._data)


@pytest.fixture
def start_server():
    """Return a function that starts a :class:`RawServer` with its bytes."""
    servers = []

    def start_server(data):
        servers.append(RawServer(data))
        return servers[-1]

    yield start_server
    for server in servers:
        server.close()

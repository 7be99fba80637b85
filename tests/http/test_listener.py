"""Accepting and refusing connections."""

import eventlet
import pytest
from eventlet.green import socket
from eventlet.hubs import trampoline

from merlinnotch._http import Listener


@pytest.fixture
def make_listener():
    listeners = []

    def make(serve, **options):
        listeners.append(Listener("127.0.0.1:0", serve, **options))
        return listeners[-1]

    yield make
    for listener in listeners:
        listener.close()


def send(listener):
    """Return what an accepted connection answers; raises ConnectionError on a reset."""
    host, _, port = listener.address.partition(":")
    with socket.create_connection((host, int(port)), timeout=5.0) as sock:
        sock.sendall(b"request")
        trampoline(sock.fileno(), read=True, timeout=5.0)
        # Green sockets report a reset as the end of the stream.
        return sock.fd.recv(100)


def test_connection_that_is_not_accepted_is_reset_unread(make_listener):
    received = []

    def serve(sock):
        received.append(sock.recv(100))
        sock.sendall(b"answer")

    decisions = iter([False, True])
    listener = make_listener(
        serve,
        prepare=lambda: eventlet.sleep(0.1),
        try_accept=lambda: next(decisions),
    )
    with pytest.raises(ConnectionError):
        send(listener)
    assert send(listener) == b"answer"
    eventlet.sleep(0)
    assert received == [b"request"]

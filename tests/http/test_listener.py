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


def connect(listener):
    host, _, port = listener.address.partition(":")
    return socket.create_connection((host, int(port)), timeout=5.0)


@pytest.fixture
def pausing_listener(make_listener):
    """Return a listener that echoes a block and pauses after each connection."""

    def pause():
        listener.pause()
        return True

    listener = make_listener(
        lambda sock: sock.sendall(sock.recv(100)), try_accept=pause
    )
    return listener


def test_paused_listener_refuses_connections(pausing_listener):
    assert send(pausing_listener) == b"request"
    assert pausing_listener.is_paused
    with pytest.raises(ConnectionRefusedError):
        connect(pausing_listener)
    pausing_listener.resume()
    assert send(pausing_listener) == b"request"


def test_open_connections_go_on_during_a_pause(pausing_listener):
    with connect(pausing_listener) as sock:
        eventlet.sleep(0.05)
        assert pausing_listener.is_paused
        sock.sendall(b"late")
        assert sock.recv(100) == b"late"


def test_closed_listener_is_not_resumed(pausing_listener):
    pausing_listener.close()
    pausing_listener.resume()
    with pytest.raises(ConnectionRefusedError):
        connect(pausing_listener)

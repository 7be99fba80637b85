"""Responses without a length that end with their connection."""

import dataclasses
import socket
import struct
import types

import eventlet
import pytest
import urllib3.util.connection
from eventlet.green import socket as green_socket

from merlinnotch._rate_limits import NO_PERMIT_NEEDED
from merlinnotch._upstreams.client import UpstreamClient
from merlinnotch._upstreams.failure import AttemptFailed, FailureReason

UNFRAMED = b"HTTP/1.1 200 X\r\nX-Request-Id: id-1\r\nConnection: close\r\n\r\nhalf"
LONG_BODY_BYTES = 20_000_000
"""More than the buffers of both sockets take."""
PAUSE_S = 0.05
"""Lets the client read what was sent before the connection is reset."""


class ClosingServer:
    """Sends UNFRAMED to each connection, then closes or resets it.

    It reads at most *read_bytes* of a request before.
    """

    def __init__(self, resets, read_bytes=65536):
        self._resets = resets
        self._read_bytes = read_bytes
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        eventlet.spawn_n(self._serve)

    def _serve(self):
        sock, _ = self._listener.accept()
        sock.recv(self._read_bytes)
        sock.sendall(UNFRAMED)
        eventlet.sleep(PAUSE_S)
        if self._resets:
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()


@pytest.fixture
def call():
    return types.SimpleNamespace(
        request_id="id-1",
        method="POST",
        path="/x",
        body=b"",
        content_type="",
        idempotent=True,
        time_left_s=5.0,
        may_have_been_sent=False,
        permit=NO_PERMIT_NEEDED,
        holding=None,
    )


@pytest.fixture
def call_service(monkeypatch, call, notices, table):
    """Return a function that calls a service over green sockets, as instances do."""
    monkeypatch.setattr(urllib3.util.connection, "socket", green_socket)
    client = UpstreamClient("127.0.0.1", notices)

    def call_service(address):
        listed = dataclasses.replace(table.get("engine").listed, address=address)
        table.replace_listing([listed])
        return client.call_service(table.get("engine"), call)

    return call_service


def test_reset_response_without_length_is_broken(call_service):
    with pytest.raises(AttemptFailed) as caught:
        call_service(ClosingServer(resets=True).address)
    assert caught.value.reason is FailureReason.BROKEN


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_response_that_is_reset_during_the_upload_is_broken(
    call_service, call, is_idempotent
):
    # The write took the error, and the read the end of a response without length.
    call.body = bytes(LONG_BODY_BYTES)
    call.idempotent = is_idempotent
    with pytest.raises(AttemptFailed) as caught:
        call_service(ClosingServer(resets=True, read_bytes=1000).address)
    assert caught.value.reason is FailureReason.BROKEN


def test_closed_response_without_length_is_complete(call_service):
    _, body = call_service(ClosingServer(resets=False).address)
    assert body == b"half"


def test_read_timeout_of_a_green_socket_is_kept(call_service, call):
    call.time_left_s = 0.2
    listener = eventlet.listen(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    with pytest.raises(AttemptFailed) as caught:
        call_service(address)
    assert caught.value.reason is FailureReason.SILENT

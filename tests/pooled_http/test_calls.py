"""Limits on the size and the time of responses."""

import time
import types

import eventlet
import pytest
import urllib3
import urllib3.util.connection
from eventlet.green import socket as green_socket

from merlinnotch._errors import StoreUnavailable
from merlinnotch._pooled_http import make_pool_manager, read_body, send_call
from merlinnotch._store.http import HttpStore
from merlinnotch._upstreams.directory import Directory, PlatformUnavailable
from merlinnotch._upstreams.ratings import Raters, RatingsUnavailable
from tests.pooled_http.conftest import RawServer

HEAD = b"HTTP/1.1 200 X\r\nx-consul-index: 1\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
PIECE = b"x" * 4000
ENDLESS = {
    "fields": (HEAD, b"a: " + PIECE + b"\r\n"),
    "field": (HEAD + b"a: ", PIECE),
    "status line": (b"HTTP/1.1 200 ", PIECE),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "body": (HEAD + b"\r\n", PIECE),
    "body with length": (HEAD + b"content-length: 99999999999\r\n\r\n", PIECE),
    "chunks": (CHUNKED, b"%x\r\n%s\r\n" % (len(PIECE), PIECE)),
    "chunk size": (CHUNKED, b"0" * 4000),
    "chunk extension": (CHUNKED + b"5;", PIECE),
    "trailers": (CHUNKED + b"0\r\n", b"a: " + PIECE + b"\r\n"),
}
MAX_BYTES = 1 << 20
ALLOWANCE_BYTES = 16 << 20
"""What the buffers of the sockets take beside it."""
MAX_SENT_BYTES = 256 << 20
"""Where the server gives up; more than any limit of a call."""


class EndlessServer(RawServer):
    """Sends *first* and then *piece* again and again."""

    def __init__(self, first, piece):
        self._first = first
        self._block = piece * (65536 // len(piece) + 1)
        self.sent_bytes = 0
        super().__init__(b"")

    def send(self, sock):
        sock.sendall(self._first)
        while self.sent_bytes < MAX_SENT_BYTES:
            sock.sendall(self._block)
            self.sent_bytes += len(self._block)


@pytest.fixture(params=ENDLESS)
def endless_server(request):
    server = EndlessServer(*ENDLESS[request.param])
    yield server
    server.close()


def test_response_without_end_is_given_up(endless_server):
    # All of it was kept until the process was out of memory.
    url = f"http://{endless_server.address}/"
    with pytest.raises(urllib3.exceptions.HTTPError):
        send_call(make_pool_manager(retries=False), "GET", url, 5.0, MAX_BYTES)
    assert endless_server.sent_bytes <= MAX_BYTES + ALLOWANCE_BYTES


def test_reply_of_the_store_without_end_is_given_up(endless_server):
    with pytest.raises(StoreUnavailable):
        HttpStore([endless_server.address]).read("key", recurse=True)
    assert endless_server.sent_bytes < MAX_SENT_BYTES


def test_listing_without_end_is_given_up(endless_server):
    settings = types.SimpleNamespace(platform_address=endless_server.address)
    peers = types.SimpleNamespace(handlers={})
    with pytest.raises(PlatformUnavailable):
        Directory(settings, [object()], peers, None).run_once()
    assert endless_server.sent_bytes < MAX_SENT_BYTES


def test_ratings_without_end_are_given_up(endless_server):
    settings = types.SimpleNamespace(
        ratings_address=endless_server.address, instance="one"
    )
    with pytest.raises(RatingsUnavailable):
        Raters(settings, None, None).run_once()
    assert endless_server.sent_bytes < MAX_SENT_BYTES


@pytest.mark.parametrize(
    "body",
    [
        b"4\r\nbody\r\n0\r\n\r\n",
        b"4;a=b\r\nbody\r\n0\r\na: 1\r\n\r\n",
        b"04 \nbody\r\n0\n\n",
    ],
)
def test_chunked_body_is_read(start_server, body):
    url = f"http://{start_server(CHUNKED + body).address}/"
    manager = make_pool_manager(retries=False)
    assert send_call(manager, "GET", url, 5.0, MAX_BYTES).data == b"body"


@pytest.mark.parametrize(
    "body",
    [
        b"-4\r\nbody",
        b"0x4\r\nbody\r\n0\r\n\r\n",
        b"4\r\nbody\r\n0",
        b"4\r\nbody\r\n",
        b"4\r\nbo",
    ],
)
def test_chunked_body_that_is_malformed_or_cut_off_is_no_body(start_server, body):
    # A chunk size that was cut off after its first 0 was taken for the end.
    url = f"http://{start_server(CHUNKED + body).address}/"
    with pytest.raises(urllib3.exceptions.HTTPError):
        send_call(make_pool_manager(retries=False), "GET", url, 5.0, MAX_BYTES)


def test_body_shorter_than_its_length_is_no_body(start_server):
    server = start_server(HEAD + b"content-length: 5\r\n\r\nbody")
    with pytest.raises(urllib3.exceptions.HTTPError):
        send_call(
            make_pool_manager(retries=False),
            "GET",
            f"http://{server.address}/",
            5.0,
            MAX_BYTES,
        )


class TricklingParts:
    """A response that sends a byte now and then, on a clock of its own."""

    def __init__(self, monkeypatch):
        self._now = time.monotonic()
        monkeypatch.setattr(time, "monotonic", lambda: self._now)

    def read1(self, size):
        self._now += 0.5
        return b"x"


def test_body_that_trickles_is_given_up(monkeypatch):
    response = TricklingParts(monkeypatch)
    with pytest.raises(urllib3.exceptions.HTTPError, match="slowly"):
        read_body(response, time.monotonic() + 5.0, MAX_BYTES)


def test_head_that_trickles_is_given_up(monkeypatch):
    # Each of its bytes began the timeout anew.
    monkeypatch.setattr(urllib3.util.connection, "socket", green_socket)
    listener = eventlet.listen(("127.0.0.1", 0))
    sent = []

    def trickle():
        sock, _ = listener.accept()
        sock.sendall(HEAD)
        while len(sent) < 100:
            sock.sendall(b"a: 1\r\n")
            sent.append(1)
            eventlet.sleep(0.05)
        sock.sendall(b"\r\n")
        sock.close()

    thread = eventlet.spawn(trickle)
    url = f"http://127.0.0.1:{listener.getsockname()[1]}/"
    with pytest.raises(urllib3.exceptions.HTTPError):
        send_call(make_pool_manager(retries=False), "GET", url, 0.3, MAX_BYTES)
    thread.kill()
    listener.close()
    assert len(sent) < 100


def test_slow_head_is_waited_for_longer_than_a_connection(monkeypatch):
    # Requests that took longer than the timeout of connecting were given up.
    monkeypatch.setattr(urllib3.util.connection, "socket", green_socket)
    listener = eventlet.listen(("127.0.0.1", 0))

    def answer():
        sock, _ = listener.accept()
        sock.recv(65536)
        eventlet.sleep(0.5)
        sock.sendall(HEAD + b"content-length: 4\r\n\r\nbody")
        sock.close()

    thread = eventlet.spawn(answer)
    url = f"http://127.0.0.1:{listener.getsockname()[1]}/"
    timeout = urllib3.Timeout(connect=0.2, read=10.0)
    response = make_pool_manager(retries=False).request("GET", url, timeout=timeout)
    thread.kill()
    listener.close()
    assert response.data == b"body"

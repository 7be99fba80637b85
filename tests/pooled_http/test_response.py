"""Checks of the heads of responses."""

import types

import pytest
import urllib3

from merlinnotch._errors import StoreUnavailable
from merlinnotch._pooled_http import make_pool_manager
from merlinnotch._store.http import HttpStore
from merlinnotch._upstreams.directory import Directory, PlatformUnavailable

OK_LINE = b"HTTP/1.1 200 X\r\n"
LENGTH = b"content-length: 4\r\n"
MALFORMED_HEADS = [
    f"HTTP/1.1 {status} X\r\n".encode()
    for status in ("000", "001", "099", "103", "600", "999", "2000", "20", "-20", "")
] + [
    OK_LINE + line + b"\r\n"
    for line in (
        b"a b: 1",
        b"a\tb: 1",
        b"a : 1",
        b"a\x01b: 1",
        b"a\x7fb: 1",
        b"a\x00b: 1",
        b"a\xa0b: 1",
        b"a[b: 1",
        b": 1",
        b"nothing",
        b" a: 1",
        b"a: b\x00c",
        b"a: b\rcontent-length: 1",
        b"a: b\r\n c: 1",
        b"content-length: +4",
        b"content-length: 4_0",
        b"content-length: 4, 4",
        b"content-length: 5",
        b"transfer-encoding: chunked",
        b"transfer-encoding: gzip, chunked",
    )
]
VALID_HEADS = [
    OK_LINE,
    b"HTTP/1.1 200\r\n",
    b"HTTP/1.0 200 X\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n" + OK_LINE,
    b"HTTP/1.1 100 Continue\r\na: 1\r\n\r\n" + OK_LINE,
    OK_LINE + b"a: \x01\xe9\r\nB!#$%&'*+.^_`|~-:\r\n",
    OK_LINE + b"a: 1\n",
]


def fetch(address):
    """Return the status and the body of a response."""
    reply = make_pool_manager(retries=False).request("GET", f"http://{address}/")
    return reply.status, reply.data


@pytest.mark.parametrize("head", MALFORMED_HEADS)
def test_malformed_head_is_no_response(start_server, head):
    # The rest of the head was dropped, and what followed it was read as the body.
    server = start_server(head + LENGTH + b"\r\nbody")
    with pytest.raises(urllib3.exceptions.HTTPError):
        fetch(server.address)


@pytest.mark.parametrize("head", VALID_HEADS)
def test_valid_head_is_read(start_server, head):
    server = start_server(head + LENGTH + b"\r\nbody and more")
    assert fetch(server.address) == (200, b"body")


@pytest.mark.parametrize("length", range(1, len(OK_LINE + b"a: 1\r\n") + 1))
def test_head_that_ends_early_is_no_response(start_server, length):
    # A head that was cut off was read as a whole one without a length.
    server = start_server((OK_LINE + b"a: 1\r\n")[:length])
    with pytest.raises(urllib3.exceptions.HTTPError):
        fetch(server.address)


def test_store_with_a_malformed_head_is_unavailable(start_server):
    server = start_server(OK_LINE + b"a b: 1\r\nx-consul-index: 1\r\n\r\n[]")
    with pytest.raises(StoreUnavailable):
        HttpStore([server.address]).read("key")


def test_listing_with_a_malformed_head_is_not_used(start_server):
    server = start_server(OK_LINE + b"a b: 1\r\n\r\n[]")
    settings = types.SimpleNamespace(platform_address=server.address)
    peers = types.SimpleNamespace(handlers={})
    directory = Directory(settings, [object()], peers, None)
    with pytest.raises(PlatformUnavailable):
        directory.run_once()

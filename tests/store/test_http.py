"""Replies of the store that its client can't use."""

import http.server
import json
import threading

import pytest

from merlinnotch._errors import StoreConflict, StoreUnavailable
from merlinnotch._store import HttpStore

ROW = b'[{"Key": "k", "Value": "dg==", "ModifyIndex": 7}]'


KEY_ROWS = json.loads(ROW)
OTHER_ROWS = [{"Key": "other", "Value": "dg==", "ModifyIndex": 7}]
LEASE_REPLY = [{"ID": "lease-1"}]
INDEX = {"X-Consul-Index": "7"}


class _Handler(http.server.BaseHTTPRequestHandler):
    """Sends the first bytes of each reply without a length, and closes."""

    def do_GET(self):
        self._reply(ROW[:20])

    def do_PUT(self):
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self._reply(b"tr")

    def _reply(self, body):
        self.send_response(200)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Log nothing."""


class _ScriptedHandler(http.server.BaseHTTPRequestHandler):
    """Answers each call with the server's *status*, *headers* and *value*."""

    protocol_version = "HTTP/1.1"

    def do_GET(self):
        self._reply()

    def do_PUT(self):
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self._reply()

    def do_DELETE(self):
        self._reply()

    def _reply(self):
        body = json.dumps(self.server.value).encode()
        self.send_response(self.server.status)
        for name, value in self.server.headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Log nothing."""


def _serve(handler_class):
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), handler_class)
    threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
    yield server
    server.shutdown()
    server.server_close()


@pytest.fixture
def truncating_server():
    yield from _serve(_Handler)


@pytest.fixture
def store(truncating_server):
    return HttpStore([f"127.0.0.1:{truncating_server.server_port}"])


@pytest.fixture
def scripted_server():
    yield from _serve(_ScriptedHandler)


@pytest.fixture
def scripted_store(scripted_server):
    """Return a function that returns a store which answers all calls as given."""

    def make_store(status, headers, value):
        scripted_server.status = status
        scripted_server.headers = headers
        scripted_server.value = value
        return HttpStore([f"127.0.0.1:{scripted_server.server_port}"])

    return make_store


@pytest.mark.parametrize(
    "call",
    [
        pytest.param(lambda store: store.read("k"), id="read"),
        pytest.param(lambda store: store.watch("k", 1, 0.1), id="watch"),
        pytest.param(lambda store: store.put("k", b"v"), id="write"),
        pytest.param(lambda store: store.open_lease(10, "one"), id="lease"),
    ],
)
def test_truncated_reply_counts_as_an_unavailable_store(store, call):
    with pytest.raises(StoreUnavailable):
        call(store)


@pytest.mark.parametrize(
    ("status", "headers", "value"),
    [
        pytest.param(404, {}, None, id="absent without an index"),
        pytest.param(200, {}, KEY_ROWS, id="rows without an index"),
        pytest.param(200, INDEX, OTHER_ROWS, id="rows of another key"),
        pytest.param(200, INDEX, LEASE_REPLY, id="lease"),
        pytest.param(200, INDEX, True, id="written"),
    ],
)
@pytest.mark.parametrize(
    "read",
    [
        pytest.param(lambda store: store.read("k"), id="read"),
        pytest.param(lambda store: store.read("k", recurse=True), id="recursive read"),
        pytest.param(lambda store: store.watch("k", 1, 0.1), id="watch"),
    ],
)
def test_response_to_another_call_is_no_listing(
    scripted_store, read, status, headers, value
):
    """Guards against "not claimed" from what isn't the store's answer."""
    with pytest.raises(StoreUnavailable):
        read(scripted_store(status, headers, value))


@pytest.mark.parametrize(
    ("status", "value"),
    [
        pytest.param(200, KEY_ROWS, id="rows"),
        pytest.param(200, LEASE_REPLY, id="lease"),
        pytest.param(200, None, id="null"),
        pytest.param(404, None, id="absent"),
    ],
)
@pytest.mark.parametrize(
    "write",
    [
        pytest.param(lambda store: store.swap("k", b"v", 1), id="swap"),
        pytest.param(lambda store: store.put("k", b"v"), id="put"),
        pytest.param(lambda store: store.delete("k", 1), id="delete"),
        pytest.param(lambda store: store.acquire("k", b"v", "lease-1"), id="acquire"),
    ],
)
def test_response_to_another_call_confirms_no_write(
    scripted_store, write, status, value
):
    """Guards against "written" from what isn't the store's answer."""
    with pytest.raises(StoreUnavailable):
        write(scripted_store(status, INDEX, value))


def test_listing_of_an_absent_key_is_empty(scripted_store):
    listing = scripted_store(404, INDEX, None).read("k")
    assert listing.items == ()
    assert listing.index == 7


def test_refused_swap_is_a_conflict(scripted_store):
    with pytest.raises(StoreConflict):
        scripted_store(200, INDEX, False).swap("k", b"v", 1)


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(True, id="written"),
        pytest.param(KEY_ROWS, id="rows"),
        pytest.param([{"ID": "lease-2"}], id="another lease"),
        pytest.param({"ID": "lease-1"}, id="new lease"),
    ],
)
def test_response_to_another_call_renews_no_lease(scripted_store, value):
    """Guards against a lease that is held on after its end."""
    with pytest.raises(StoreUnavailable):
        scripted_store(200, INDEX, value).renew_lease("lease-1")


@pytest.mark.parametrize("value", [True, False, KEY_ROWS, LEASE_REPLY, None])
def test_response_to_another_call_opens_no_lease(scripted_store, value):
    with pytest.raises(StoreUnavailable):
        scripted_store(200, INDEX, value).open_lease(5.0, "one")


def test_refused_swap_of_another_call_confirms_no_put(scripted_store):
    with pytest.raises(StoreUnavailable):
        scripted_store(200, INDEX, False).put("k", b"v")


def test_renewed_lease_is_kept(scripted_store):
    scripted_store(200, INDEX, LEASE_REPLY).renew_lease("lease-1")

"""An upstream server and the parts of the front door that send to it."""

import http.server
import threading
import time
import types

import pytest

from merlinnotch._links.gossiper import LEAVING, LOAD, VERSIONS
from merlinnotch._peers import ListedUpstream
from merlinnotch._rate_limits import PermitFleet, Permits
from merlinnotch._routing import UpstreamStart, UpstreamTable
from merlinnotch._upstreams import directory, loads, ratings
from merlinnotch._upstreams.notices import ResponseNotices

WAIT_S = 30.0
"""Longer than the server, a thread of the same process, may stand still."""


class UpstreamServer:
    """Answers each request with *status*, *headers* and *body*, and counts them."""

    def __init__(self):
        self.status = 200
        self.headers = {}
        self.body = b"{}"
        self.echoes_id = True
        self.request_count = 0
        server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), _make_handler_class(self)
        )
        self.address = f"127.0.0.1:{server.server_port}"
        self._server = server
        threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()


def _make_handler_class(upstream):
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self):
            self._answer()

        def do_POST(self):
            self.rfile.read(int(self.headers.get("Content-Length") or 0))
            self._answer()

        def _answer(self):
            upstream.request_count += 1
            self.send_response(upstream.status)
            request_id = self.headers.get("X-Request-Id")
            if request_id and upstream.echoes_id:
                self.send_header("X-Request-Id", request_id)
            headers = {"Content-Length": str(len(upstream.body)), **upstream.headers}
            for name, value in headers.items():
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(upstream.body)

        def log_message(self, *arguments):
            """Log nothing."""

    return Handler


class LoneFleet(PermitFleet):
    """A fleet of one instance, which issues all permits."""

    def __init__(self, table):
        self._table = table

    def find_issuer(self, upstream):
        return "entry"

    def find_upstream(self, start):
        return self._table.get(start.id)

    def make_start(self, fields):
        return UpstreamStart(*fields)

    def is_connected(self):
        return True


def make_permits(table):
    """Return the permits of the only instance."""
    return Permits(
        "entry",
        LoneFleet(table),
        types.SimpleNamespace(announce=lambda report: None),
        table.limit_book,
        table.schedule,
        time.monotonic,
        lambda result: None,
    )


class FakeGossiper:
    """Keeps what is published, by namespace, and has no peers."""

    def __init__(self):
        self.listeners = {}
        self.state = {}
        self.published = {LEAVING: [], LOAD: [], VERSIONS: []}
        self.membership = types.SimpleNamespace(list_live=lambda now, zone: {})

    def add_listener(self, namespace, listener):
        self.listeners[namespace] = listener

    def publish(self, namespace, subkey, value):
        key = (namespace, *subkey)
        self.state[key] = value
        self.published[namespace].append(subkey)
        self.listeners[namespace](key, value)


@pytest.fixture
def server():
    server = UpstreamServer()
    yield server
    server.close()


@pytest.fixture
def patient_clients(monkeypatch):
    """Let the clients of lists, ratings and loads wait for the server."""
    monkeypatch.setattr(directory, "TIMEOUT_S", WAIT_S)
    monkeypatch.setattr(loads, "TIMEOUT_S", WAIT_S)
    monkeypatch.setattr(ratings, "TIMEOUT_S", WAIT_S)
    monkeypatch.setattr(ratings, "RATING_TIMEOUT_S", WAIT_S)


@pytest.fixture
def table(server):
    table = UpstreamTable("zone-a")
    table.replace_listing(
        [ListedUpstream("engine", server.address, "zone-a", "language", False)]
    )
    return table


@pytest.fixture
def upstream(table):
    return table.get("engine")


@pytest.fixture
def gossiper():
    return FakeGossiper()


@pytest.fixture
def changes():
    return []


@pytest.fixture
def permits(table):
    return make_permits(table)


@pytest.fixture
def notices(table, gossiper, permits, changes):
    return ResponseNotices(table, gossiper, permits, lambda: changes.append("changed"))

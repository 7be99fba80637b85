"""Upstreams that send a response again where the next one is expected."""

import contextlib
import types

import eventlet
import pytest
import urllib3.util.connection
from eventlet.green import socket as green_socket

from merlinnotch._rate_limits import NO_PERMIT_NEEDED
from merlinnotch._upstreams.client import UpstreamClient
from merlinnotch._upstreams.failure import AttemptFailed, FailureReason

REFUSAL = "503 X\r\nX-Not-Run: overloaded"
SUCCESS = "200 X"
VERSION = types.SimpleNamespace(id="swift@v1")
EVENTS = b"data: 1\n\ndata: [DONE]\n\n"


class RepeatingServer:
    """Answers with *heads* in turn, each one again before the next on a connection.

    *ran_ids* holds the id of each request that was answered with ``SUCCESS``.
    """

    def __init__(self, heads, body):
        self.ran_ids = []
        self._heads = iter(heads)
        self._body = body
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._thread = eventlet.spawn(self._accept)

    def close(self):
        self._thread.kill()
        self._listener.close()

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock):
        earlier = b""
        stream = sock.makefile("rb")
        while (request_id := _read_request(stream)) is not None:
            sock.sendall(earlier)
            head = next(self._heads)
            if head == SUCCESS:
                self.ran_ids.append(request_id)
            earlier = self._encode(head, request_id)
            sock.sendall(earlier)

    def _encode(self, head, request_id):
        lines = [f"HTTP/1.1 {head}", f"X-Request-Id: {request_id}"]
        if not self._body:
            lines.append("Content-Length: 0")
            return "\r\n".join(lines).encode() + b"\r\n\r\n"
        lines.append("Transfer-Encoding: chunked")
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(self._body), self._body)
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + chunk


def _read_request(stream):
    """Read a request and return its id, or None at the end of the connection."""
    fields = {}
    while (line := stream.readline().strip()) or not fields:
        if not line:
            return None
        name, _, value = line.decode().partition(":")
        fields[name.lower()] = value.strip()
    stream.read(int(fields.get("content-length", 0)))
    return fields["x-request-id"]


@pytest.fixture
def make_server(monkeypatch):
    monkeypatch.setattr(urllib3.util.connection, "socket", green_socket)
    servers = []

    def make_server(heads, body):
        servers.append(RepeatingServer(heads, body))
        return servers[-1]

    yield make_server
    for server in servers:
        server.close()


@pytest.fixture
def client(notices):
    return UpstreamClient("127.0.0.1", notices)


@pytest.fixture
def send(client, table):
    """Return a function that sends a request to *server* as *sender*."""

    def send(server, sender, request_id):
        call = types.SimpleNamespace(
            request_id=request_id,
            kind=types.SimpleNamespace(priority=5),
            body={"messages": []} if sender == "chat" else b"",
            method="POST",
            path="/x",
            content_type="",
            idempotent=sender != "once-only service",
            time_left_s=5.0,
            may_have_been_sent=False,
            permit=NO_PERMIT_NEEDED,
            holding=None,
        )
        upstream = types.SimpleNamespace(
            listed=types.SimpleNamespace(address=server.address, id="engine"),
            start=table.get("engine").start,
        )
        if sender == "chat":
            return list(client.stream(upstream, call, VERSION, 0))
        return client.call_service(upstream, call)

    return send


SENDERS = ["chat", "once-only service", "idempotent service"]


@pytest.mark.parametrize("body", [b"", EVENTS], ids=["empty", "with a body"])
@pytest.mark.parametrize("sender", SENDERS)
def test_repeated_refusal_is_not_believed_for_the_next_attempt(
    make_server, send, sender, body
):
    """Guards against "not run" for a request whose second attempt runs."""
    server = make_server([REFUSAL, SUCCESS], body)
    with pytest.raises(AttemptFailed) as refused:
        send(server, sender, "id-1")
    assert refused.value.reason is FailureReason.OVERLOADED
    try:
        send(server, sender, "id-1")
    except AttemptFailed as failure:
        assert failure.traits.may_have_run
    assert server.ran_ids == ["id-1"]


@pytest.mark.parametrize("first", [REFUSAL, SUCCESS], ids=["refusal", "success"])
@pytest.mark.parametrize("sender", SENDERS)
def test_repeated_response_is_not_believed_for_the_next_request(
    make_server, send, sender, first
):
    server = make_server([first, SUCCESS], EVENTS)
    with contextlib.suppress(AttemptFailed):
        send(server, sender, "id-1")
    try:
        send(server, sender, "id-2")
    except AttemptFailed as failure:
        assert failure.traits.may_have_run
    assert server.ran_ids[-1] == "id-2"


@pytest.mark.parametrize("status", [408, 409, 429])
def test_chat_that_fails_without_the_upstreams_statement_may_have_run(
    make_server, send, status
):
    # Guards against "not run", and a released claim, for a chat that ran.
    server = make_server([f"{status} X"], b"")
    with pytest.raises(AttemptFailed) as failed:
        send(server, "chat", "id-1")
    assert failed.value.traits.may_have_run


@pytest.mark.parametrize("status", [400, 404, 413, 422])
def test_chat_that_an_upstream_rejects_for_its_form_did_not_run(
    make_server, send, status
):
    server = make_server([f"{status} X"], b"")
    with pytest.raises(AttemptFailed) as failed:
        send(server, "chat", "id-1")
    assert failed.value.reason is FailureReason.REJECTED

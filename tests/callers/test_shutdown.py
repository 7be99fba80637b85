"""Requests that are in progress or arrive while the process has to end."""

import math
import socket
import time
import types

import eventlet
import pytest
from eventlet.greenio import GreenSocket

from merlinnotch._callers.answer_cache import CompleteAnswer
from merlinnotch._callers.app import CallerApp
from merlinnotch._daemon.instance import EntryInstance
from merlinnotch._daemon.metrics import Metrics
from merlinnotch._daemon.server import CallerServer
from merlinnotch._limits import MemoryBudget
from standins.ports import PortPicker
from tests.platform_world import Answer, read_to_end, wait_until

HEAD = "HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
WAIT_S = 5.0
SILENT_S = 60.0
LARGE_BYTES = 8 << 20
"""More than the buffers of the sockets take."""


class Handlers:
    """Parser and handlers of requests whose upstream is silent.

    *was_sent* says whether an upstream has got the request. *has_ended* tells that the
    run of a request was ended.
    """

    def __init__(self):
        self.was_sent = True
        self.time_left_s = SILENT_S
        self.answer_bytes = None
        self.begun = 0
        self.has_ended = False

    def parse_chat(self, environ):
        return self._make_call(True)

    def parse_service(self, environ, name, path):
        return self._make_call(False)

    def answer(self, call):
        self._wait(call)
        return CompleteAnswer(200, "text/plain", "app", bytes(self.answer_bytes))

    def answer_stream(self, call):
        return types.SimpleNamespace(version_id="app", events=self._stream(call))

    def _stream(self, call):
        yield b"data: 1"
        self._wait(call)

    def _wait(self, call):
        call.may_have_been_sent = self.was_sent
        self.begun += 1
        if self.answer_bytes is not None:
            return
        try:
            eventlet.sleep(SILENT_S)
        finally:
            self.has_ended = True

    def _make_call(self, stream):
        return types.SimpleNamespace(
            request_id="id-1",
            stream=stream,
            deadline=time.monotonic() + self.time_left_s,
            may_have_been_sent=False,
            has_idempotency_key=False,
            session=None,
        )


class Scene:
    """A server with the application, and an instance that consists of them."""

    def __init__(self):
        self.handlers = Handlers()
        state = types.SimpleNamespace(
            metrics=Metrics(),
            leaving=False,
            outbox=(),
            memory=MemoryBudget(math.inf),
        )
        state.outbox = _Outbox()
        handlers = self.handlers
        self.app = CallerApp(state, handlers, handlers, handlers)
        self.address = PortPicker().pick("127.0.0.1")
        self.server = CallerServer(self.address, self.app)
        self.instance = EntryInstance.__new__(EntryInstance)
        self.instance.state = state
        self.instance._app = self.app
        self.instance._server = self.server
        self.instance._gossiper = types.SimpleNamespace()
        self.instance._settings = types.SimpleNamespace(shutdown_s=1.0, drain_s=0.1)

    def send(self, path="/services/app/x"):
        """Send a request; return its connection."""
        host, _, port = self.address.partition(":")
        sock = GreenSocket(socket.create_connection((host, int(port))))
        sock.settimeout(WAIT_S)
        sock.sendall(f"POST {path} {HEAD}".encode())
        return sock

    def send_and_wait(self, path="/services/app/x"):
        """Send a request; return its connection once it has begun to run."""
        sock = self.send(path)
        wait_until(lambda: self.handlers.begun)
        return sock


class _Outbox:
    def __len__(self):
        return 0

    def check_capacity(self):
        """Take any request."""


@pytest.fixture
def scene():
    scene = Scene()
    yield scene
    scene.app.end_requests()
    scene.server.stop_accepting()


@pytest.mark.parametrize(
    ("was_sent", "status", "outcome"),
    [(True, 504, "unknown"), (False, 503, "not-run")],
)
def test_request_in_progress_at_the_end_is_answered(scene, was_sent, status, outcome):
    # Its connection was closed without an answer.
    scene.handlers.was_sent = was_sent
    with scene.send_and_wait() as sock:
        assert not scene.instance.shut_down()
        answer = Answer(read_to_end(sock))
    assert answer.status == status
    assert answer.fields["x-merlinnotch-outcome"] == outcome
    assert answer.is_complete
    assert scene.handlers.has_ended


def test_stream_in_progress_at_the_end_is_ended_with_an_error(scene):
    with scene.send_and_wait("/v1/chat/completions") as sock:
        assert not scene.instance.shut_down()
        answer = Answer(read_to_end(sock))
    assert answer.status == 200
    assert answer.is_complete
    assert b'"upstream_silent"' in answer.body
    assert b"[DONE]" not in answer.body


def test_answer_that_is_being_written_goes_on(scene):
    scene.handlers.answer_bytes = LARGE_BYTES
    with scene.send_and_wait() as sock:
        eventlet.sleep(0.1)
        scene.app.end_requests()
        answer = Answer(read_to_end(sock))
    assert (answer.status, len(answer.body)) == (200, LARGE_BYTES)


def test_request_that_takes_longer_than_the_instance_has_is_refused(scene):
    # It was passed on, and cut at the end.
    scene.app.refuse_longer_than(time.monotonic() + SILENT_S / 2)
    with scene.send() as sock:
        answer = Answer(read_to_end(sock))
    assert answer.status == 503
    assert answer.fields["x-merlinnotch-outcome"] == "not-run"
    assert "retry-after" in answer.fields
    assert scene.handlers.begun == 0


def test_request_that_ends_before_the_instance_is_served(scene):
    scene.handlers.answer_bytes = 4
    scene.handlers.time_left_s = SILENT_S / 4
    scene.app.refuse_longer_than(time.monotonic() + SILENT_S / 2)
    with scene.send() as sock:
        assert Answer(read_to_end(sock)).status == 200

"""The server for callers while it stops."""

import contextlib
import socket

import eventlet
import pytest
from eventlet.greenio import GreenSocket

from merlinnotch._daemon.server import CallerServer, CallerSocket
from standins.ports import PortPicker
from tests.platform_world import Answer

REQUEST = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody"
WAIT_S = 5.0
OK = 200
READ_COUNT = 10
READ_BYTES = 1000


class Scene:
    """A server, the requests that it has run, and a connection to it."""

    def __init__(self):
        self.address = PortPicker().pick("127.0.0.1")
        self.runs = []
        self.server = CallerServer(self.address, self._run)
        self._sock = None

    def connect(self, wait_s=0.05):
        """Open a connection, and let the server wait for its first request."""
        host, _, port = self.address.partition(":")
        self.close_connection()
        self._sock = GreenSocket(socket.create_connection((host, int(port))))
        self._sock.settimeout(WAIT_S)
        if wait_s:
            eventlet.sleep(wait_s)

    def close_connection(self):
        """Close the connection, if there is one."""
        if self._sock is not None:
            self._sock.close()

    def send(self, data):
        """Send bytes; the server doesn't read them before the next wait."""
        self._sock.fd.sendall(data)

    def receive(self):
        """Return the status of the response, 0 if the connection ends without one."""
        data = b""
        with contextlib.suppress(OSError):
            while not data.endswith(b"done"):
                part = self._sock.recv(65536)
                if not part:
                    break
                data += part
        return Answer(data).status

    def close(self):
        """Close the connection and stop the server."""
        self.close_connection()
        self.server.stop_accepting()

    def _run(self, environ, start_response):
        self.runs.append(environ["wsgi.input"].read())
        start_response("200 OK", [("Content-Length", "4")])
        return [b"done"]


@pytest.fixture
def scene():
    """Return a server with a connection that waits for its first request."""
    scene = Scene()
    scene.connect()
    yield scene
    scene.close()


@pytest.mark.parametrize("is_used", [False, True], ids=["new", "used"])
def test_request_that_arrived_before_idle_connections_are_closed_is_answered(
    scene, is_used
):
    # Guards against running a request whose connection is already shut down.
    if is_used:
        scene.send(REQUEST)
        assert scene.receive() == OK
    scene.send(REQUEST)
    scene.server.stop_accepting()
    scene.server.close_idle()
    assert scene.receive() == OK
    assert scene.runs == [b"body"] * (1 + is_used)


def test_request_on_a_connection_that_nothing_has_read_from_is_answered(scene):
    # Guards against running a request whose connection was accepted during the stop.
    scene.connect(wait_s=0.0)
    scene.send(REQUEST)
    scene.server.stop_accepting()
    scene.server.close_idle()
    assert scene.receive() == OK
    assert scene.runs == [b"body"]


def test_input_of_a_connection_that_was_shut_down_is_not_run(scene):
    # Guards against running what arrives at the moment at which a connection closes.
    scene.server.close_idle()
    scene.send(REQUEST)
    assert scene.receive() == 0
    assert scene.runs == []


@pytest.mark.parametrize(
    "length", [6, 26, len(REQUEST) - 2], ids=["line", "head", "body"]
)
def test_server_is_busy_while_a_request_arrives(scene, length):
    # Guards against a process that ends while a request is being read.
    scene.send(REQUEST[:length])
    eventlet.sleep(0.05)
    scene.server.stop_accepting()
    scene.server.close_idle()
    assert scene.server.is_busy
    scene.send(REQUEST[length:])
    assert scene.receive() == OK


def test_connections_that_stay_open_after_a_response_do_not_keep_the_server_busy(scene):
    # Guards against a stop that waits for callers to close their connections.
    scene.send(REQUEST)
    assert scene.receive() == OK
    assert scene.server.is_busy is False


def test_other_tasks_run_while_a_body_arrives_without_pauses(turns):
    # Small chunks of a body kept all others out.
    ours, theirs = socket.socketpair()
    theirs.sendall(bytes(READ_COUNT * READ_BYTES))
    caller = CallerSocket(GreenSocket(ours))
    caller.awaits_request = False
    for _ in range(READ_COUNT):
        assert caller.recv_into(bytearray(READ_BYTES)) == READ_BYTES
    caller.close()
    theirs.close()
    assert len(turns) >= READ_COUNT - 1

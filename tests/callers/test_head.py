"""HEAD requests."""

import socket
import types

import eventlet
import pytest
from eventlet.greenio import GreenSocket

from merlinnotch._callers.app import CallerApp
from merlinnotch._daemon.metrics import Metrics
from merlinnotch._daemon.server import CallerServer
from merlinnotch._limits import MemoryBudget
from standins.ports import PortPicker

WAIT_S = 5.0


@pytest.fixture
def sock():
    state = types.SimpleNamespace(
        metrics=Metrics(), leaving=False, memory=MemoryBudget(0)
    )
    address = PortPicker().pick("127.0.0.1")
    server = CallerServer(address, CallerApp(state, None, None, None))
    host, _, port = address.partition(":")
    sock = GreenSocket(socket.create_connection((host, int(port))))
    sock.settimeout(WAIT_S)
    yield sock
    sock.close()
    server.stop_accepting()
    eventlet.sleep(0)


def test_refused_head_request_gets_no_body(sock):
    # The body was read as the beginning of the next response.
    for _ in range(3):
        sock.sendall(b"HEAD /nowhere HTTP/1.1\r\nhost: a\r\n\r\n")
        data = b""
        while not data.endswith(b"\r\n\r\n"):
            data += sock.recv(65536)
        assert data.startswith(b"HTTP/1.1 404 ")
        assert data.count(b"\r\n\r\n") == 1
        assert b"Content-Length: 0" not in data

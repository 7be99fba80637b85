"""Receiving of datagrams."""

import cbor2
import eventlet
import pytest
from eventlet.green import socket

from merlinnotch._entry.datagrams import (
    MAX_DATAGRAMS_PER_TURN,
    DatagramTransport,
    MessageKind,
)
from tests.platform_world import PORTS

COUNT = 3 * MAX_DATAGRAMS_PER_TURN


class Scene:
    """A transport and a socket that sends to it; *received* are the messages."""

    def __init__(self):
        self.received = []
        address = PORTS.pick("127.0.0.1")
        self.transport = DatagramTransport(address)
        self.transport.handle(MessageKind.LOAD, self.received.append)
        host, _, port = address.partition(":")
        self._address = (host, int(port))
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def send(self, data):
        self._sock.sendto(data, self._address)

    def close(self):
        self.transport.close()
        self._sock.close()


@pytest.fixture
def scene():
    scene = Scene()
    yield scene
    scene.close()


def test_datagrams_without_a_pause_let_other_tasks_run(scene):
    for number in range(COUNT):
        scene.send(cbor2.dumps([int(MessageKind.LOAD), number]))
    task = eventlet.spawn(scene.transport.run)
    eventlet.sleep(0)
    assert len(scene.received) == MAX_DATAGRAMS_PER_TURN
    with eventlet.Timeout(5.0):
        while len(scene.received) < COUNT:
            eventlet.sleep(0.01)
    task.kill()


def test_invalid_datagram_is_dropped(scene):
    task = eventlet.spawn(scene.transport.run)
    for data in (b"", b"\xff\x00", cbor2.dumps([9999, None]), cbor2.dumps([1, 7])):
        scene.send(data)
    with eventlet.Timeout(5.0):
        while not scene.received:
            eventlet.sleep(0.01)
    assert scene.received == [7]
    task.kill()

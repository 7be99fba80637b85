"""Reads that begin at or after their time limit."""

import time

import eventlet
import pytest
from eventlet.green import socket

from merlinnotch._errors import ConnectionTimedOut
from merlinnotch._http.sockets import (
    LATE_READ_S,
    RECEIVE_SIZE_BYTES,
    Receiver,
)


@pytest.fixture
def pair():
    """Return two connected sockets."""
    sockets = socket.socketpair()
    yield sockets
    for sock in sockets:
        sock.close()


def wait_for_event():
    """Return as the event loop handles a socket that has become readable."""
    reader, writer = socket.socketpair()
    eventlet.spawn(writer.sendall, b"x")
    reader.recv(1)
    for sock in (reader, writer):
        sock.close()


@pytest.mark.parametrize("timeout_s", [0.0, -0.5 * LATE_READ_S])
def test_bytes_that_have_arrived_are_not_lost_to_a_limit_just_passed(pair, timeout_s):
    reader, writer = pair
    writer.sendall(b"data")
    assert Receiver(reader).receive(timeout_s) == b"data"


def test_bytes_that_arrive_while_the_process_stands_still_are_not_lost(pair):
    # Guards against closing an idle connection on which a request has arrived.
    reader, writer = pair
    read = eventlet.spawn(Receiver(reader).receive, 0.05)
    wait_for_event()
    # From here the time limit is looked at before the sockets.
    writer.fd.sendall(b"data")
    time.sleep(0.1)
    assert read.wait() == b"data"


def test_read_at_its_limit_does_not_wait(pair):
    with eventlet.Timeout(1.0), pytest.raises(ConnectionTimedOut):
        Receiver(pair[0]).receive(0.0)


def test_sender_that_never_pauses_does_not_prolong_the_limit(pair):
    reader, writer = pair
    writer.sendall(b"data")
    with pytest.raises(ConnectionTimedOut):
        Receiver(reader).receive(-2 * LATE_READ_S)


def test_other_tasks_run_between_reads_from_a_sender_that_never_pauses(pair):
    reader, writer = pair
    writer.sendall(bytes(2 * RECEIVE_SIZE_BYTES))
    receiver = Receiver(reader)
    receiver.receive(1.0)
    other = eventlet.spawn(lambda: None)
    receiver.receive(1.0)
    assert other.dead


def test_no_bytes_are_lost_if_the_reader_ends_between_two_reads(pair):
    reader, writer = pair
    writer.sendall(bytes(2 * RECEIVE_SIZE_BYTES))
    receiver = Receiver(reader)
    parts = [receiver.receive(1.0)]
    task = eventlet.spawn(lambda: parts.append(receiver.receive(1.0)))
    eventlet.sleep(0)
    task.kill()
    parts += [Receiver(reader).receive(1.0)] if len(parts) == 1 else []
    assert sum(map(len, parts)) == 2 * RECEIVE_SIZE_BYTES

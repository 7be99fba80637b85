"""Connections to upstreams and the pool that keeps them."""

import socket
import struct

import eventlet
import pytest

from merlinnotch._entry.clock import read_clock
from merlinnotch._errors import ConnectFailed, ConnectionBroken
from merlinnotch._http import UpstreamConnection, UpstreamPool, call
from standins.platform_upstream import StandInUpstream, answer, hang, make_answer


@pytest.fixture
def start():
    started = []

    def start(script):
        started.append(StandInUpstream(script))
        return started[-1]

    yield start
    for upstream in started:
        upstream.close()


def ask(connection, wait_s=1.0, body=b""):
    until = read_clock() + wait_s
    pairs = [("host", "h")]
    return call(connection, "POST", "/", pairs, body, until, 1 << 20)


def test_a_whole_answer_leaves_the_connection_for_the_next(start):
    upstream = start(answer())
    pool = UpstreamPool(read_clock)
    for _ in range(3):
        connection = pool.take("u", upstream.address, 1.0)
        assert ask(connection)[1] == b"done"
        pool.give_back("u", connection)
    assert upstream.connections == 1


@pytest.mark.parametrize(
    "script",
    [
        pytest.param(lambda r, w: w(b"nonsense\r\n\r\n"), id="no answer"),
        pytest.param(lambda r, w: w(make_answer(r)[:-2]), id="cut short"),
        pytest.param(lambda r, w: None, id="closed"),
    ],
)
def test_what_is_no_whole_answer_breaks_the_connection(start, script):
    upstream = start(script)
    connection = UpstreamConnection(upstream.address, read_clock, 1.0)
    with pytest.raises(ConnectionBroken):
        ask(connection)


def test_a_silent_upstream_is_given_up_at_the_deadline(start):
    connection = UpstreamConnection(start(hang).address, read_clock, 1.0)
    started_at = read_clock()
    with pytest.raises(ConnectionBroken):
        ask(connection, wait_s=0.1)
    assert read_clock() - started_at >= 0.1


def test_bytes_after_the_answer_end_the_connection(start):
    def script(request, write):
        write(make_answer(request) + make_answer(request, b"extra"))
        return True

    upstream = start(script)
    pool = UpstreamPool(read_clock)
    for _ in range(2):
        connection = pool.take("u", upstream.address, 1.0)
        assert ask(connection)[1] == b"done"
        pool.give_back("u", connection)
    assert upstream.connections == 2


def test_bytes_that_come_while_idle_end_the_connection(start):
    def script(request, write):
        write(make_answer(request))
        eventlet.sleep(0.02)
        write(make_answer(request, b"late"))
        return True

    upstream = start(script)
    pool = UpstreamPool(read_clock)
    for _ in range(2):
        connection = pool.take("u", upstream.address, 1.0)
        assert ask(connection)[1] == b"done"
        pool.give_back("u", connection)
        eventlet.sleep(0.1)
    assert upstream.connections == 2


def test_an_answer_that_comes_before_a_long_body_is_read_is_taken(start):
    def script(request, write):
        return False

    upstream = start(script)
    early = eventlet.listen(("127.0.0.1", 0))

    def serve():
        sock, _ = early.accept()
        sock.recv(1000)
        sock.sendall(b"HTTP/1.1 200 X\r\ncontent-length: 5\r\n\r\nearly")
        eventlet.sleep(5)

    eventlet.spawn(serve)
    address = f"127.0.0.1:{early.getsockname()[1]}"
    connection = UpstreamConnection(address, read_clock, 1.0)
    head, body = ask(connection, 2.0, b"x" * (8 << 20))
    assert body == b"early"
    assert not connection.make_reusable(read_clock())
    connection.close()
    upstream.close()


def test_an_upstream_that_does_not_listen_is_told_apart(start):
    upstream = start(answer())
    upstream.close()
    with pytest.raises(ConnectFailed):
        UpstreamConnection(upstream.address, read_clock, 0.5)


def test_an_answer_without_length_ends_with_its_connection(start):
    def script(request, write):
        write(b"HTTP/1.1 200 X\r\n\r\nall of it")

    connection = UpstreamConnection(start(script).address, read_clock, 1.0)
    assert ask(connection)[1] == b"all of it"
    assert not connection.make_reusable(read_clock())


def test_an_answer_without_length_that_is_reset_is_not_whole():
    listener = eventlet.listen(("127.0.0.1", 0))

    def serve():
        sock, _ = listener.accept()
        sock.recv(1000)
        sock.sendall(b"HTTP/1.1 200 X\r\n\r\nhalf of")
        eventlet.sleep(0.05)
        # Closed at once with a reset, as the kernel does for a process that died.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()

    eventlet.spawn(serve)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    connection = UpstreamConnection(address, read_clock, 1.0)
    with pytest.raises(ConnectionBroken):
        ask(connection)
    listener.close()


def test_an_answer_without_length_that_is_broken_off_is_not_whole(start):
    def script(request, write):
        write(b"HTTP/1.1 200 X\r\n\r\nhalf of")
        eventlet.sleep(30)

    upstream = start(script)
    pool = UpstreamPool(read_clock)
    connection = pool.take("u", upstream.address, 1.0)
    eventlet.spawn_after(0.1, pool.break_off, "u")
    with pytest.raises(ConnectionBroken):
        ask(connection, wait_s=20.0)

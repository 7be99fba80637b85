"""Connections to upstreams, and the pool that reuses them."""

import socket
import struct
import weakref

import eventlet
import pytest

from merlinnotch._entry.clock import read_clock
from merlinnotch._errors import ConnectFailed, ConnectionBroken, ConnectionTimedOut
from merlinnotch._http import UpstreamConnection, UpstreamPool, call
from merlinnotch._http.upstream import MAX_INTERIM_RESPONSES
from standins.platform_upstream import (
    StandInUpstream,
    hang,
    make_answer,
    make_answer_script,
)


@pytest.fixture
def start_upstream():
    upstreams = []

    def start_upstream(script):
        upstreams.append(StandInUpstream(script))
        return upstreams[-1]

    yield start_upstream
    for upstream in upstreams:
        upstream.close()


def exchange(connection, timeout_s=1.0, body=b""):
    deadline = read_clock() + timeout_s
    pairs = [("host", "h")]
    return call(connection, "POST", "/", pairs, body, deadline, 1 << 20)


def test_connection_is_reused_after_a_complete_response(start_upstream):
    upstream = start_upstream(make_answer_script())
    pool = UpstreamPool(read_clock)
    for _ in range(3):
        connection = pool.acquire("u", upstream.address, 1.0)
        assert exchange(connection)[1] == b"done"
        pool.release("u", connection)
    assert upstream.connection_count == 1


@pytest.mark.parametrize(
    "script",
    [
        pytest.param(lambda r, w: w(b"nonsense\r\n\r\n"), id="invalid response"),
        pytest.param(lambda r, w: w(make_answer(r)[:-2]), id="truncated response"),
        pytest.param(lambda r, w: None, id="no response"),
    ],
)
def test_invalid_or_incomplete_response_raises(start_upstream, script):
    upstream = start_upstream(script)
    connection = UpstreamConnection(upstream.address, read_clock, 1.0)
    with pytest.raises(ConnectionBroken):
        exchange(connection)


MALFORMED_HEADS = [
    pytest.param(f"HTTP/1.1 {status} X\r\n".encode(), id=status)
    for status in ("000", "001", "099", "600", "999", "2000", "20", "-20")
] + [
    pytest.param(b"HTTP/1.1 200 X\r\n" + line + b"\r\n", id=repr(line))
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
        b"a: b\x00c",
        b"a: b\rcontent-length: 1",
        b"content-length: +4",
        b"content-length: 0x4",
        b"content-length: 5",
        b"transfer-encoding: gzip, chunked",
    )
]


@pytest.mark.parametrize("head", MALFORMED_HEADS)
def test_response_with_a_malformed_head_raises(start_upstream, head):
    # Some reached callers as responses.
    def script(request, write):
        write(head + b"content-length: 4\r\n\r\nbody")
        return True

    connection = UpstreamConnection(start_upstream(script).address, read_clock, 1.0)
    with pytest.raises(ConnectionBroken):
        exchange(connection)


def test_silent_upstream_is_given_up_at_the_deadline(start_upstream):
    connection = UpstreamConnection(start_upstream(hang).address, read_clock, 1.0)
    started_at = read_clock()
    with pytest.raises(ConnectionBroken):
        exchange(connection, timeout_s=0.1)
    assert read_clock() - started_at >= 0.1


def test_connection_with_bytes_after_the_response_is_not_reused(start_upstream):
    def script(request, write):
        write(make_answer(request) + make_answer(request, b"extra"))
        return True

    upstream = start_upstream(script)
    pool = UpstreamPool(read_clock)
    for _ in range(2):
        connection = pool.acquire("u", upstream.address, 1.0)
        assert exchange(connection)[1] == b"done"
        pool.release("u", connection)
    assert upstream.connection_count == 2


def test_connection_with_bytes_received_while_idle_is_not_reused(start_upstream):
    def script(request, write):
        write(make_answer(request))
        eventlet.sleep(0.02)
        write(make_answer(request, b"late"))
        return True

    upstream = start_upstream(script)
    pool = UpstreamPool(read_clock)
    for _ in range(2):
        connection = pool.acquire("u", upstream.address, 1.0)
        assert exchange(connection)[1] == b"done"
        pool.release("u", connection)
        eventlet.sleep(0.1)
    assert upstream.connection_count == 2


def test_response_before_the_request_is_read_is_accepted(start_upstream):
    def script(request, write):
        return False

    upstream = start_upstream(script)
    listener = eventlet.listen(("127.0.0.1", 0))

    def serve():
        sock, _ = listener.accept()
        sock.recv(1000)
        sock.sendall(b"HTTP/1.1 200 X\r\ncontent-length: 5\r\n\r\nearly")
        eventlet.sleep(5)

    eventlet.spawn(serve)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    connection = UpstreamConnection(address, read_clock, 1.0)
    head, body = exchange(connection, 2.0, b"x" * (8 << 20))
    assert body == b"early"
    assert not connection.make_reusable(read_clock())
    connection.close()
    upstream.close()


def test_upstream_that_does_not_listen_raises_connect_failed(start_upstream):
    upstream = start_upstream(make_answer_script())
    upstream.close()
    with pytest.raises(ConnectFailed):
        UpstreamConnection(upstream.address, read_clock, 0.5)


def test_response_without_length_ends_with_its_connection(start_upstream):
    def script(request, write):
        write(b"HTTP/1.1 200 X\r\n\r\nall of it")

    connection = UpstreamConnection(start_upstream(script).address, read_clock, 1.0)
    assert exchange(connection)[1] == b"all of it"
    assert not connection.make_reusable(read_clock())


def test_reset_of_a_response_without_length_raises():
    listener = eventlet.listen(("127.0.0.1", 0))

    def serve():
        sock, _ = listener.accept()
        sock.recv(1000)
        sock.sendall(b"HTTP/1.1 200 X\r\n\r\nhalf of")
        eventlet.sleep(0.05)
        # Close with a reset, as the kernel does for a process that died.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()

    eventlet.spawn(serve)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    connection = UpstreamConnection(address, read_clock, 1.0)
    with pytest.raises(ConnectionBroken):
        exchange(connection)
    listener.close()


LONG_BODY = b"x" * (8 << 20)


def serve_part(listener, is_reset):
    """Respond before the body has been read, without a length, and end."""
    sock, _ = listener.accept()
    sock.recv(1000)
    sock.sendall(b"HTTP/1.1 200 X\r\n\r\nhalf of")
    eventlet.sleep(0.05)
    if is_reset:
        # Unread bytes make the kernel reset the connection.
        sock.close()
        return
    sock.shutdown(socket.SHUT_WR)
    eventlet.sleep(5)


@pytest.fixture
def connect_to_part():
    """Return a function that connects to a new server with :func:`serve_part`."""
    listener = eventlet.listen(("127.0.0.1", 0))

    def connect_to_part(is_reset):
        eventlet.spawn(serve_part, listener, is_reset)
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        return UpstreamConnection(address, read_clock, 1.0)

    yield connect_to_part
    listener.close()


def test_response_that_is_reset_during_the_upload_raises(connect_to_part):
    # The write took the error, and the read the end of a response without length.
    connection = connect_to_part(is_reset=True)
    deadline = read_clock() + 5.0
    connection.send_request("POST", "/", [("host", "h")], LONG_BODY, deadline)
    eventlet.sleep(0.3)
    connection.read_head(deadline)
    with pytest.raises(ConnectionBroken):
        connection.read_body(deadline, 1 << 20)


def test_response_that_ends_during_the_upload_is_complete(connect_to_part):
    connection = connect_to_part(is_reset=False)
    assert exchange(connection, 5.0, LONG_BODY)[1] == b"half of"
    connection.close()


def test_abort_of_a_response_without_length_raises(start_upstream):
    def script(request, write):
        write(b"HTTP/1.1 200 X\r\n\r\nhalf of")
        eventlet.sleep(30)

    upstream = start_upstream(script)
    pool = UpstreamPool(read_clock)
    connection = pool.acquire("u", upstream.address, 1.0)
    eventlet.spawn_after(0.1, pool.abort, "u")
    with pytest.raises(ConnectionBroken):
        exchange(connection, timeout_s=20.0)


def end_by_pool(pool, connection):
    pool.abort("u")


def end_by_budget(pool, connection):
    connection.make_room()


@pytest.mark.parametrize("end", [end_by_pool, end_by_budget])
def test_ended_response_is_freed_at_once(start_upstream, uncollected, end):
    # Many of them would be in memory beside the budget until the next collection.
    def script(request, write):
        write(b"HTTP/1.1 200 X\r\ncontent-length: 1000\r\n\r\nhalf of")
        eventlet.sleep(30)

    pool = UpstreamPool(read_clock)
    connection = pool.acquire("u", start_upstream(script).address, 1.0)
    reference = weakref.ref(connection)
    eventlet.spawn_after(0.1, end, pool, connection)
    with pytest.raises(ConnectionBroken):
        exchange(connection, timeout_s=20.0)
    connection.close()
    del connection
    assert reference() is None


def test_connection_is_freed_whose_request_was_not_read(uncollected):
    listener = eventlet.listen(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    connection = UpstreamConnection(address, read_clock, 1.0)
    reference = weakref.ref(connection)
    body = bytes(20 << 20)
    with pytest.raises(ConnectionTimedOut):
        exchange(connection, 0.2, body)
    connection.close()
    del connection
    eventlet.sleep(0)
    assert reference() is None
    listener.close()


def make_interim_script(count):
    """Return a script that answers after *count* interim responses."""

    def script(request, write):
        for _ in range(count):
            write(b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n")
        write(make_answer(request))
        return True

    return script


def test_interim_responses_are_skipped_in_each_exchange(start_upstream):
    upstream = start_upstream(make_interim_script(MAX_INTERIM_RESPONSES))
    connection = UpstreamConnection(upstream.address, read_clock, 1.0)
    for _ in range(3):
        assert exchange(connection, timeout_s=30.0)[1] == b"done"
        assert connection.make_reusable(read_clock())


def test_too_many_interim_responses_break_the_exchange(start_upstream):
    upstream = start_upstream(make_interim_script(MAX_INTERIM_RESPONSES + 1))
    connection = UpstreamConnection(upstream.address, read_clock, 1.0)
    with pytest.raises(ConnectionBroken, match="interim"):
        exchange(connection, timeout_s=30.0)


def make_trickling_script(size, pause_s):
    """Return a script that answers with *size* bytes, one after each pause."""

    def script(request, write):
        write(b"HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n" % size)
        for _ in range(size):
            eventlet.sleep(pause_s)
            write(b"x")
        return True

    return script


def read_long_body(upstream, max_pause_s):
    connection = UpstreamConnection(upstream.address, read_clock, 1.0)
    connection.send_request("GET", "/", [("host", "h")], b"", read_clock() + 30.0)
    connection.read_head(read_clock() + 30.0)
    return connection.read_long_body(max_pause_s, 1 << 20)


def test_long_body_that_only_trickles_is_given_up(start_upstream):
    upstream = start_upstream(make_trickling_script(10_000, 0.01))
    # All of it would take 100 s.
    with eventlet.Timeout(30.0), pytest.raises(ConnectionBroken, match="timed out"):
        read_long_body(upstream, max_pause_s=0.5)


def test_long_body_may_take_longer_than_a_pause(start_upstream):
    def script(request, write):
        write(b"HTTP/1.1 200 X\r\ncontent-length: 600000\r\n\r\n")
        for _ in range(6):
            write(bytes(100_000))
            eventlet.sleep(0.1)
        return True

    assert len(read_long_body(start_upstream(script), max_pause_s=0.3)) == 600_000

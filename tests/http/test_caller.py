"""Connections of callers: requests in, answers out, departures noticed."""

import eventlet
import pytest
from eventlet.green import socket

from merlinnotch._entry.clock import read_clock
from merlinnotch._errors import ConnectionBroken, MalformedMessage
from merlinnotch._http import CallerConnection
from merlinnotch._http.simple import PageLimits


@pytest.fixture
def pair():
    ours, theirs = socket.socketpair()
    yield CallerConnection(ours, read_clock, 1.0), theirs
    ours.close()
    theirs.close()


def read(connection, **limits):
    return connection.read_request(PageLimits(**limits), 1.0)


def test_a_request_keeps_target_and_body_byte_for_byte(pair):
    connection, peer = pair
    peer.sendall(
        b"POST /a%2Fb//c?x=%20 HTTP/1.1\r\nHost: h\r\nX-One: a b\r\n"
        b"Content-Length: 5\r\n\r\na\r\n\0b"
    )
    request = read(connection)
    assert request.method == "POST"
    assert request.target == "/a%2Fb//c?x=%20"
    assert request.body == b"a\r\n\0b"
    assert request.fields.get("x-one") == "a b"


def test_a_chunked_body_is_read_whole(pair):
    connection, peer = pair
    peer.sendall(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
    peer.sendall(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert read(connection).body == b"abcde"


def test_a_second_request_sent_early_is_served_after_the_first(pair):
    connection, peer = pair
    peer.sendall(
        b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
    )
    assert read(connection).target == "/1"
    connection.answer(200, [], b"one")
    assert connection.finish()
    assert read(connection).target == "/2"


def test_a_request_hidden_in_a_body_is_no_request(pair):
    connection, peer = pair
    hidden = b"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(hidden)
    peer.sendall(head + hidden)
    assert read(connection).body == hidden
    connection.answer(200, [], b"")
    assert connection.finish()
    peer.shutdown(socket.SHUT_WR)
    assert read(connection) is None


def test_too_large_heads_and_bodies_are_told_apart(pair):
    connection, peer = pair
    peer.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 300)
    with pytest.raises(MalformedMessage) as caught:
        read(connection, max_header_bytes=200)
    assert caught.value.status == 431


def test_a_body_over_the_limit_is_refused(pair):
    connection, peer = pair
    peer.sendall(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789")
    with pytest.raises(MalformedMessage) as caught:
        read(connection, max_body_bytes=8)
    assert caught.value.status == 413


def test_an_answer_that_is_not_finished_does_not_look_whole(pair):
    connection, peer = pair
    peer.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    read(connection)
    connection.write(connection.start_answer(200, []) + connection.encode_data(b"x"))
    assert not connection.finish()
    connection.close()
    data = b""
    while part := peer.recv(4096):
        data += part
    assert b"0\r\n\r\n" not in data


def test_a_caller_that_leaves_is_noticed_behind_a_request_sent_early(pair):
    connection, peer = pair
    left = []
    peer.sendall(
        b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
    )
    read(connection)
    connection.watch_departure(lambda: left.append(True))
    eventlet.sleep(0)
    peer.close()
    with eventlet.Timeout(2):
        while not left:
            eventlet.sleep(0.01)


def test_a_hung_up_connection_wakes_its_reader(pair):
    connection, _ = pair
    reader = eventlet.spawn(read, connection)
    eventlet.sleep(0)
    connection.hang_up()
    with eventlet.Timeout(2):
        assert reader.wait() is None


def test_a_socket_closed_under_its_reader_breaks_only_that_connection(pair):
    connection, _ = pair

    def read_one():
        with pytest.raises(ConnectionBroken):
            read(connection)

    reader = eventlet.spawn(read_one)
    eventlet.sleep(0)
    connection.close()
    with eventlet.Timeout(2):
        reader.wait()

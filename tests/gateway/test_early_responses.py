"""Upstreams that respond before they have read a long body."""

import random
import re

import eventlet
import pytest
from eventlet.green import socket

from tests.platform_world import (
    ONCE_PATH,
    PLAIN_PATH,
    STREAM_PATH,
    Caller,
    make_configuration,
    wait_until,
)

SEED = 7
REQUEST_COUNT = 12
BODY_SIZES = (1_000, 40_000, 200_000, 6_000_000)
"""Written at once, in the background, and more than the buffers of sockets take."""
SMALL_BUFFER_BYTES = 16384
RECEIVE_BYTES = 65536
PAUSE_S = 0.002
HEAD_END = b"\r\n\r\n"


class EarlyUpstream:
    """Responds to each request at the end of its head, and reads its body on.

    *respond* returns the response to the request with an id. *bodies* are pairs of an
    id and its whole body. *foreign* holds the heads that belong to no request.
    *responded* is the number of responses, *closed* that of connections that ended.
    """

    def __init__(self, respond):
        self._respond = respond
        self.bodies = []
        self.foreign = []
        self.responded = 0
        self.closed = 0
        self._listener = socket.socket()
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(64)
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
        data = b""
        try:
            while True:
                head, data = self._read_head(sock, data)
                if not head.startswith(b"POST " + ONCE_PATH.encode()):
                    self.foreign.append(head)
                    return
                attempt_id = re.search(rb"x-attempt-id: (\S+)", head).group(1).decode()
                sock.sendall(self._respond(attempt_id))
                self.responded += 1
                length = int(re.search(rb"content-length: (\d+)", head).group(1))
                body, data = self._read_body(sock, data, length)
                self.bodies.append((attempt_id, body))
        except (EOFError, OSError):
            return
        finally:
            self.closed += 1
            sock.close()

    def _read_head(self, sock, data):
        """Return the next head and what follows it; *data* has arrived before."""
        while HEAD_END not in data:
            data += self._receive(sock)
        head, _, rest = data.partition(HEAD_END)
        return head, rest

    def _read_body(self, sock, data, length):
        """Return a body of *length* bytes and what follows it."""
        parts = [data]
        while sum(len(part) for part in parts) < length:
            eventlet.sleep(PAUSE_S)
            parts.append(self._receive(sock))
        data = b"".join(parts)
        return data[:length], data[length:]

    def _receive(self, sock):
        data = sock.recv(RECEIVE_BYTES)
        if not data:
            raise EOFError
        return data


def make_response(status, attempt_id, extra=""):
    lines = [f"HTTP/1.1 {status} X", "content-length: 4", "x-server-seal: s"]
    lines.append(f"x-attempt-id: {attempt_id}")
    lines += [extra] if extra else []
    return "\r\n".join(lines).encode() + HEAD_END + b"body"


def refuse_early(attempt_id):
    return make_response(503, attempt_id, "x-not-executed: 1")


@pytest.fixture
def answered():
    """Return the ids of requests that were answered with success, in order."""
    return []


@pytest.fixture
def upstreams(world, answered):
    """Return an upstream that refuses all requests, and one that answers them."""

    def answer_early(attempt_id):
        answered.append(attempt_id)
        return make_response(200, attempt_id)

    upstreams = [EarlyUpstream(refuse_early), EarlyUpstream(answer_early)]
    for upstream_id, upstream in zip(("i-1", "i-2"), upstreams, strict=True):
        world.list_upstream(upstream_id, "app", upstream.address)
    yield upstreams
    for upstream in upstreams:
        upstream.close()


def make_body(size):
    """Return a body of which no part looks like another one or like a request."""
    return random.Random(size).randbytes(size)


def start_caller(world):
    """Return a caller of an instance that accepts long bodies."""
    limits = make_configuration(1)["limits"] | {"max-body-bytes": 16 << 20}
    world.configure(limits=limits)
    return Caller(world.add_instance())


def test_rest_of_a_body_is_not_replaced_by_the_next_request(world, upstreams, answered):
    caller = start_caller(world)
    generator = random.Random(SEED)
    sizes = [generator.choice(BODY_SIZES) for _ in range(REQUEST_COUNT)]
    responses = [caller.send(ONCE_PATH, "POST", make_body(size)) for size in sizes]
    assert [response.status for response in responses] == [200] * REQUEST_COUNT
    sent_sizes = {f"id-{number}": size for number, size in enumerate(sizes, 1)}
    assert answered == list(sent_sizes)
    for upstream in upstreams:
        assert upstream.foreign == []
        for attempt_id, body in upstream.bodies:
            assert body == make_body(sent_sizes[attempt_id])


class ResettingUpstream(EarlyUpstream):
    """Responds without a length to a part of a request, and resets the connection."""

    def _serve(self, sock):
        try:
            head, _ = self._read_head(sock, b"")
            attempt_id = re.search(rb"x-attempt-id: (\S+)", head).group(1).decode()
            sock.sendall(self._respond(attempt_id))
            # The response arrives while the rest of the body is being written.
            eventlet.sleep(PAUSE_S * 10)
        finally:
            # Unread bytes make the kernel reset the connection.
            sock.close()


def make_part(attempt_id):
    """Return a response without a length, of which more would follow."""
    response = make_response(200, attempt_id)
    return response.replace(b"content-length: 4\r\n", b"")


def make_stream_part(attempt_id):
    return make_part(attempt_id).removesuffix(b"body") + b"id: 1\ndata: a\n\n"


@pytest.mark.parametrize(
    ("path", "respond"),
    [
        (PLAIN_PATH, make_part),
        (ONCE_PATH, make_part),
        (STREAM_PATH, make_stream_part),
    ],
)
def test_response_that_is_reset_during_the_upload_is_not_complete(world, path, respond):
    # Half of the callers got the part of the response as a complete one.
    upstream = ResettingUpstream(respond)
    service = "engines" if path == STREAM_PATH else "app"
    world.list_upstream("i-1", service, upstream.address)
    caller = start_caller(world)
    for _ in range(REQUEST_COUNT):
        response = caller.send(path, "POST", make_body(BODY_SIZES[-1]))
        assert response.status != 200 or not response.is_complete
    upstream.close()


def make_malformed_response(attempt_id):
    return make_response(200, attempt_id, "x-confidence: none")


def make_unfinished_refusal(attempt_id):
    return refuse_early(attempt_id).removesuffix(b"body")


@pytest.mark.parametrize("respond", [make_malformed_response, make_unfinished_refusal])
def test_rest_of_a_body_is_not_sent_once_its_attempt_is_given_up(world, respond):
    upstream = EarlyUpstream(respond)
    world.list_upstream("i-1", "app", upstream.address)
    caller = start_caller(world)
    sock = caller.open()
    sock.sendall(caller.encode(ONCE_PATH, "POST", make_body(BODY_SIZES[-1])))
    wait_until(lambda: upstream.responded)
    sock.close()
    wait_until(lambda: upstream.closed)
    upstream.close()
    assert upstream.bodies == []

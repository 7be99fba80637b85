"""Callers, which send requests and record the outcomes without checking them."""

import contextlib

import eventlet
from eventlet.green import socket

from merlinnotch._entry.clock import read_clock
from tests.platform_world import HOST, ONCE_PATH, PLAIN_PATH, STREAM_PATH, Answer

from .history import BODY, COMMON_PART, DEADLY_PART, POISON, Outcome, make_long_body

READ_TIMEOUT_S = 6.0
PATHS = {
    "plain": PLAIN_PATH,
    "once": ONCE_PATH,
    "long": ONCE_PATH,
    "stream": STREAM_PATH,
    "poison": STREAM_PATH,
    "deadly": STREAM_PATH,
}
BODIES = {"plain": b"", "once": BODY, "stream": BODY, "poison": POISON}
PROMPT_PARTS = {
    "stream": (COMMON_PART,),
    "poison": (COMMON_PART,),
    "deadly": (COMMON_PART, DEADLY_PART),
}
"""Prompt parts of each kind that other requests have too."""
RECV_SIZE = 65536
LAST_CHUNK = b"\r\n0\r\n\r\n"
LONG_BODY_RATE = 0.05


class SoakCaller:
    """Client that sends requests to *instances*, one at a time.

    Reuses a connection for several requests. *generator* is a random.Random.
    """

    REQUESTS_PER_S = 8.0

    def __init__(self, name, instances, history, generator):
        self._name = name
        self._instances = instances
        self._history = history
        self._generator = generator
        self._request_count = 0
        self._last_attempt_id = None
        self._sock = None
        self._instance = None

    def run(self, deadline):
        """Send requests until *deadline*, a time of read_clock()."""
        while read_clock() < deadline:
            self._call()
            eventlet.sleep(self._generator.expovariate(self.REQUESTS_PER_S))
        self._close_connection()

    def _call(self):
        self._request_count += 1
        attempt_id = f"{self._name}-{self._request_count}"
        kind = self._choose_kind()
        key = self._choose_key()
        sent_at = read_clock()
        answer = None
        with contextlib.suppress(OSError):
            self._check_surplus()
            self._connect()
            self._sock.sendall(_encode(kind, attempt_id, key))
            answer = self._read_answer(attempt_id)
        is_complete = answer is not None and answer.is_complete
        status = answer.status if is_complete else 0
        self._history.outcomes.append(
            Outcome(
                attempt_id,
                self._instance.name,
                kind,
                key,
                status,
                is_complete,
                answer.body if answer else b"",
                sent_at,
                read_clock(),
                answer.fields.get("x-attempt-id") if answer else None,
            )
        )
        self._last_attempt_id = attempt_id
        if not status or self._generator.random() < 0.1:
            self._close_connection()

    def _choose_kind(self):
        return self._generator.choice(("plain", "plain", "once", "stream"))

    def _choose_key(self):
        current_keys = self._history.key_versions[-1][1]
        if self._generator.random() < 0.8:
            return self._generator.choice(current_keys)
        return self._generator.choice(self._history.key_versions[0][1])

    def _connect(self):
        if self._sock is not None:
            return
        self._instance = self._generator.choice(self._instances)
        host, _, port = self._instance.caller_address.partition(":")
        self._sock = socket.create_connection((host, int(port)), timeout=1.0)
        self._sock.settimeout(READ_TIMEOUT_S)

    def _close_connection(self):
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def _check_surplus(self):
        """Record what has arrived on the kept connection since the last answer.

        Opens another connection if the kept one has been closed.
        """
        if self._sock is None:
            return
        try:
            data = self._sock.fd.recv(RECV_SIZE, socket.MSG_PEEK)
        except OSError:
            return
        if data:
            self._record_surplus(self._last_attempt_id, data)
        else:
            self._close_connection()

    def _record_surplus(self, attempt_id, data):
        self._history.surplus.append((self._instance.name, attempt_id, data))
        self._close_connection()

    def _read_answer(self, attempt_id):
        """Return the Answer, None if its head is incomplete."""
        data = b""
        while (end := _find_end(data)) is None:
            chunk = self._sock.recv(RECV_SIZE)
            if not chunk:
                self._close_connection()
                break
            data += chunk
        if b"\r\n\r\n" not in data:
            return None
        if end is not None and data[end:]:
            self._record_surplus(attempt_id, data[end:])
        answer = Answer(data[:end])
        if answer.fields.get("connection") == "close":
            self._close_connection()
        return answer


class OnceCaller(SoakCaller):
    """Client that sends requests that may run once, more than upstreams have room for.

    Some of them have long bodies.
    """

    REQUESTS_PER_S = 50.0

    def _choose_kind(self):
        return "long" if self._generator.random() < LONG_BODY_RATE else "once"


class PoisonCaller(SoakCaller):
    """Client that only sends the request that crashes upstreams."""

    def _choose_kind(self):
        return "poison"


class DeadlyPartCaller(SoakCaller):
    """Client whose requests have a prompt part that crashes upstreams in common."""

    def _choose_kind(self):
        return "deadly"


def _encode(kind, attempt_id, key):
    method = "GET" if kind == "plain" else "POST"
    lines = [f"{method} {PATHS[kind]}x HTTP/1.1", f"host: {HOST}"]
    lines += [f"x-attempt-id: {attempt_id}", f"x-credential: {key}"]
    lines += ["x-deadline-ms: 4000"]
    parts = PROMPT_PARTS.get(kind)
    if parts:
        prompt = ",".join(f"{part}:10" for part in (*parts, attempt_id))
        lines.append(f"x-prompt-prefix: {prompt}")
    body = _make_request_body(kind, attempt_id)
    if body:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _make_request_body(kind, attempt_id):
    if kind == "deadly":
        return attempt_id.encode()
    return make_long_body(attempt_id) if kind == "long" else BODIES[kind]


def _find_end(data):
    """Return the length of the response that *data* begins with, None if incomplete."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return None
    start = len(head) + len(separator)
    fields = Answer(head + separator).fields
    if fields.get("transfer-encoding") == "chunked":
        # A body without chunks begins with its end.
        end = data.find(LAST_CHUNK, start - len(b"\r\n"))
        return None if end < 0 else end + len(LAST_CHUNK)
    end = start + int(fields.get("content-length", 0))
    return end if len(data) >= end else None

"""Callers, which send requests and record the outcomes without checking them."""

import eventlet
from eventlet.green import socket

from merlinnotch._entry.clock import read_clock
from tests.platform_world import HOST, ONCE_PATH, PLAIN_PATH, STREAM_PATH, Answer

from .history import COMMON_PART, DEADLY_PART, POISON, Outcome

READ_TIMEOUT_S = 6.0
PATHS = {
    "plain": PLAIN_PATH,
    "once": ONCE_PATH,
    "stream": STREAM_PATH,
    "poison": STREAM_PATH,
    "deadly": STREAM_PATH,
}
BODIES = {"plain": b"", "once": b"body", "stream": b"body", "poison": POISON}
PROMPT_PARTS = {
    "stream": (COMMON_PART,),
    "poison": (COMMON_PART,),
    "deadly": (COMMON_PART, DEADLY_PART),
}
"""Prompt parts of each kind that other requests have too."""
RECV_SIZE = 65536


class SoakCaller:
    """Client that sends requests to *instances*, one at a time.

    Reuses a connection for several requests. *generator* is a random.Random.
    """

    def __init__(self, name, instances, history, generator):
        self._name = name
        self._instances = instances
        self._history = history
        self._generator = generator
        self._request_count = 0
        self._sock = None
        self._instance = None

    def run(self, deadline):
        """Send requests until *deadline*, a time of read_clock()."""
        while read_clock() < deadline:
            self._call()
            eventlet.sleep(self._generator.expovariate(8.0))
        self._close_connection()

    def _call(self):
        self._request_count += 1
        attempt_id = f"{self._name}-{self._request_count}"
        kind = self._choose_kind()
        key = self._choose_key()
        sent_at = read_clock()
        try:
            self._connect()
            self._sock.sendall(_encode(kind, attempt_id, key))
            status, is_complete, body = self._read_answer()
        except OSError:
            status, is_complete, body = 0, False, b""
        self._history.outcomes.append(
            Outcome(
                attempt_id,
                self._instance.name,
                kind,
                key,
                status,
                is_complete,
                body,
                sent_at,
                read_clock(),
            )
        )
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

    def _read_answer(self):
        """Return (status, is_complete, body).

        The status is 0 if the answer is incomplete.
        """
        data = b""
        while not _is_complete(data):
            chunk = self._sock.recv(RECV_SIZE)
            if not chunk:
                self._close_connection()
                break
            data += chunk
        if b"\r\n\r\n" not in data:
            return 0, False, b""
        answer = Answer(data)
        if answer.fields.get("connection") == "close":
            self._close_connection()
        if not answer.is_complete:
            return 0, False, answer.body
        return answer.status, True, answer.body


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
    body = attempt_id.encode() if kind == "deadly" else BODIES[kind]
    if body:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _is_complete(data):
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    fields = Answer(head + b"\r\n\r\n").fields
    if fields.get("transfer-encoding") == "chunked":
        return body.endswith(b"0\r\n\r\n")
    return len(body) >= int(fields.get("content-length", 0))

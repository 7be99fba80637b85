"""An upstream of few slots that sends some of its responses again."""

import collections
import enum
import re
from dataclasses import dataclass

import eventlet

from merlinnotch._http.listener import Listener
from standins.platform_upstream import make_answer

SLOTS = 6
QUEUE_LENGTH = 2
MEAN_WORK_S = 0.045
REPEATED_SHARE = 0.03
MISDIRECTED_SHARE = 0.02
EARLY_SHARE = 0.3
"""Part of the long bodies that is refused early even if there is a free place."""
LONG_BODY_BYTES = 100_000
MAX_DELAY_S = 0.008
RESPONSE_BYTES = 800
FILLER = b"b"
ID_FIELD = "x-attempt-id"
NOT_RUN_FIELD = ("x-not-executed", "1")


class Kind(enum.StrEnum):
    """Which responses are sent again.

    ``LATE`` ones come where the response to the next request is expected, ``AT_ONCE``
    ones within 8 ms. ``UNNAMED`` ones are late and lack the attempt id, ``TWICE`` ones
    are late and sent two more times.
    """

    NOTHING = "nothing"
    LATE = "late"
    AT_ONCE = "at-once"
    UNNAMED = "unnamed"
    TWICE = "twice"


@dataclass(frozen=True)
class Faults:
    """What an upstream does wrong, besides being full."""

    kind: Kind = Kind.NOTHING
    is_misdirected: bool = False


@dataclass
class Repeat:
    """A response that was sent again.

    *victim_id* is the attempt id of the next request on that connection, None if the
    connection was closed before.
    """

    attempt_id: str
    status: int
    data: bytes
    victim_id: str | None = None


@dataclass(frozen=True)
class RequestHead:
    """Target and fields of a request whose body has not been read."""

    target: str
    fields: dict

    @property
    def attempt_id(self):
        """The attempt id, None for requests of the instance itself."""
        return self.fields.get(ID_FIELD)

    @property
    def body_length(self):
        """The size of the body in bytes."""
        return int(self.fields.get("content-length", 0))


class Journal:
    """What upstreams did with each request, by its attempt id."""

    def __init__(self, read_clock):
        self._read_clock = read_clock
        self._started_at = read_clock()
        self._events = collections.defaultdict(list)
        self.runs = collections.Counter()
        self.repeats = []
        self.early_refusal_count = 0
        self.misdirected_count = 0
        self.garbled_count = 0

    def record(self, attempt_id, text):
        """Add an event to the history of a request."""
        time_s = self._read_clock() - self._started_at
        self._events[attempt_id].append(f"{time_s:8.3f} {text}")

    def record_run(self, attempt_id, upstream_name):
        """Count a run of a request."""
        self.runs[attempt_id] += 1
        self.record(attempt_id, f"{upstream_name} runs it")

    def list_events(self, attempt_id):
        """Return the lines about a request."""
        return self._events[attempt_id]


class RequestReader:
    """Reads requests with a length from a socket."""

    def __init__(self, sock):
        self._sock = sock
        self._buffer = b""

    def read_head(self):
        """Return the next :class:`RequestHead`, None at the end of the connection."""
        while b"\r\n\r\n" not in self._buffer:
            if not self._receive():
                return None
        head, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
        request_line, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.split(":", 1) for line in lines)
        fields = {name.strip().lower(): value.strip() for name, value in pairs}
        return RequestHead(request_line.split()[1], fields)

    def read_body(self, length):
        """Return the body, shorter than *length* if the connection ends within it."""
        while len(self._buffer) < length:
            if not self._receive():
                break
        body, self._buffer = self._buffer[:length], self._buffer[length:]
        return body

    def _receive(self):
        data = self._sock.recv(65536)
        self._buffer += data
        return bool(data)


class RepeatingUpstream:
    """HTTP server with ``SLOTS`` slots and a short queue, which refuses any excess.

    A long body is at times refused before it has been read; the connection is kept and
    the rest read afterwards. *faults* holds the :class:`Faults`.
    """

    def __init__(self, name, faults, journal, generator):
        self.name = name
        self._faults = faults
        self._journal = journal
        self._generator = generator
        self._slots = eventlet.semaphore.Semaphore(SLOTS)
        self._waiting_count = 0
        self._listener = Listener("127.0.0.1:0", self._serve)
        self.address = self._listener.address

    def close(self):
        """Stop listening; open connections stay open."""
        self._listener.close()

    def _serve(self, sock):
        reader = RequestReader(sock)
        repeat = None
        while (head := reader.read_head()) is not None:
            if head.attempt_id is None:
                reader.read_body(head.body_length)
                fields = [("x-instance-id", self.name)]
                sock.sendall(make_answer(head, b"", 200, fields))
                continue
            if repeat is not None:
                repeat.victim_id = head.attempt_id
                text = f"follows {repeat.attempt_id}, whose {repeat.status} is repeated"
                self._journal.record(head.attempt_id, f"{self.name}: {text}")
                if self._faults.kind is not Kind.AT_ONCE:
                    self._send_again(sock, repeat)
            repeat = self._respond(sock, reader, head)

    def _respond(self, sock, reader, head):
        """Answer a request and return the :class:`Repeat` of the response, or None."""
        if self._refuses_early(head):
            self._journal.early_refusal_count += 1
            self._journal.record(head.attempt_id, f"{self.name} refuses it early")
            status, data = 503, make_answer(head, b"", 503, [NOT_RUN_FIELD])
            sock.sendall(data)
            self._read_body(reader, head)
        else:
            self._read_body(reader, head)
            status, data = self._process(head)
            sock.sendall(data)
        if (
            self._faults.kind is Kind.NOTHING
            or self._generator.random() >= REPEATED_SHARE
        ):
            return None
        return self._repeat(sock, head, status, data)

    def _refuses_early(self, head):
        if head.body_length < LONG_BODY_BYTES:
            return False
        return self._is_full() or self._generator.random() < EARLY_SHARE

    def _read_body(self, reader, head):
        body = reader.read_body(head.body_length)
        if body.strip(FILLER):
            self._journal.garbled_count += 1
            self._journal.record(head.attempt_id, f"{self.name} reads another body")

    def _process(self, head):
        """Return the status and the bytes of the response."""
        is_misdirected = (
            self._faults.is_misdirected and self._generator.random() < MISDIRECTED_SHARE
        )
        if is_misdirected or head.fields.get("x-expect-instance") != self.name:
            self._journal.misdirected_count += 1
            self._journal.record(
                head.attempt_id, f"{self.name} is not the one expected"
            )
            return 421, make_answer(head, b"", 421)
        if self._is_full():
            self._journal.record(head.attempt_id, f"{self.name} refuses it")
            return 503, make_answer(head, b"", 503, [NOT_RUN_FIELD])
        self._run(head.attempt_id)
        body = head.attempt_id.encode().ljust(RESPONSE_BYTES)
        return 200, make_answer(head, body)

    def _is_full(self):
        return self._slots.locked() and self._waiting_count >= QUEUE_LENGTH

    def _run(self, attempt_id):
        self._waiting_count += 1
        self._slots.acquire()
        self._waiting_count -= 1
        try:
            self._journal.record_run(attempt_id, self.name)
            eventlet.sleep(self._generator.uniform(0.5, 1.5) * MEAN_WORK_S)
        finally:
            self._slots.release()

    def _repeat(self, sock, head, status, data):
        if self._faults.kind is Kind.UNNAMED:
            data = re.sub(rb"\r\nx-attempt-id: [^\r]*", b"", data)
        elif self._faults.kind is Kind.TWICE:
            data += data
        repeat = Repeat(head.attempt_id, status, data)
        if self._faults.kind is Kind.AT_ONCE:
            delay_s = self._generator.uniform(0.0, MAX_DELAY_S)
            eventlet.spawn_after(delay_s, self._send_if_open, sock, repeat)
        return repeat

    def _send_if_open(self, sock, repeat):
        try:
            self._send_again(sock, repeat)
        except OSError:
            # The instance has closed the connection.
            return

    def _send_again(self, sock, repeat):
        sock.sendall(repeat.data)
        self._journal.repeats.append(repeat)
        self._journal.record(repeat.attempt_id, f"{self.name} repeats the response")

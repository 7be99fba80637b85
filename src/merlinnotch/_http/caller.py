"""The connection of one caller."""

import contextlib
from dataclasses import dataclass

import eventlet
import h11

from .._errors import CallerLeft, ConnectionBroken, MalformedMessage
from .fields import Fields
from .head import END_OF_HEAD, check_framing, check_raw_head
from .sockets import close_quietly, hang_up, receive, send

HEAD_TOO_LARGE = 431
BODY_TOO_LARGE = 413
READ_AHEAD_BYTES = 1 << 20
"""Bytes of following requests that are read while one is answered; beyond
them a caller that leaves is noticed at the next write only."""
WATCH_S = 3600.0
"""Longer than any request lasts."""
CLOSE = ("connection", "close")


@dataclass
class CallerRequest:
    """One request as the caller sent it, read to its end.

    *target* is the path with its query, byte for byte; *received_at* is the
    time at which its first bytes were there.
    """

    method: str
    target: str
    fields: Fields
    body: bytes
    received_at: float

    @property
    def host(self):
        """The Host field."""
        return self.fields.get("host", "")


class CallerConnection:
    """Reads requests one after the other and writes their answers.

    *read_clock* returns the time in seconds; *write_s* bounds each write.
    """

    def __init__(self, sock, read_clock, write_s):
        self._sock = sock
        self._read_clock = read_clock
        self._write_s = write_s
        self._pending = b""
        self._http = None
        self._watcher = None
        self._ended = False
        self.keep_alive = True
        self.started = False

    def read_request(self, limits, idle_s):
        """Return the next request, or None at the end of the connection.

        Waits *idle_s* for its first byte. Raises :class:`MalformedMessage` for
        one that must not be passed on, :class:`ConnectionBroken` for a silent
        or broken connection.
        """
        if not self._pending:
            self._pending = self._receive(idle_s)
            if not self._pending:
                return None
        received_at = self._read_clock()
        head_end = self._read_head(limits, received_at + limits.header_timeout_s)
        check_raw_head(self._pending[:head_end])
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes + head_end
        )
        raw, self._pending = self._pending, b""
        self._http.receive_data(raw)
        event = self._next_event()
        fields = Fields.decode(event.headers)
        target = event.target.decode("ascii")
        check_framing(fields, target)
        self.keep_alive = not fields.has_token("connection", "close")
        self.started = False
        if self._http.they_are_waiting_for_100_continue:
            self._send(h11.InformationalResponse(status_code=100, headers=[]))
        body = self._read_body(limits)
        return CallerRequest(
            event.method.decode("ascii"), target, fields, body, received_at
        )

    def watch_departure(self, on_left):
        """Call *on_left* once if the caller closes before :meth:`finish`."""
        self._watcher = eventlet.spawn(self._watch, on_left)

    def start_answer(self, status, pairs, length=None):
        """Send the head; without *length* the body goes in chunks."""
        headers = list(pairs)
        if length is None:
            headers.append(("transfer-encoding", "chunked"))
        else:
            headers.append(("content-length", str(length)))
        if not self.keep_alive:
            headers.append(CLOSE)
        self.started = True
        return self._encode(h11.Response(status_code=status, headers=headers))

    def encode_data(self, data):
        """Return the bytes of the next part of the body."""
        return self._encode(h11.Data(data=data))

    def encode_end(self):
        """Return the bytes that end the answer."""
        return self._encode(h11.EndOfMessage())

    def write(self, data):
        """Send encoded bytes; raises :class:`CallerLeft`."""
        try:
            send(self._sock, data, self._write_s)
        except ConnectionBroken as error:
            self._ended = True
            raise CallerLeft(str(error)) from error

    def answer(self, status, pairs, body):
        """Send a whole answer."""
        head = self.start_answer(status, pairs, len(body))
        data = self.encode_data(body) if body else b""
        self.write(head + data + self.encode_end())

    def finish(self):
        """Stop watching; return whether another request may follow."""
        self._stop_watching()
        if self._ended or not self.keep_alive or self._http is None:
            return False
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._pending = self._http.trailing_data[0] + self._pending
        return True

    def refuse(self, status):
        """Answer bytes that are no request; the connection is over then."""
        reason = b"HTTP/1.1 %d Refused\r\n" % status
        with contextlib.suppress(CallerLeft):
            self.write(reason + b"content-length: 0\r\nconnection: close\r\n\r\n")

    def hang_up(self):
        """End a connection whose own green thread waits for a request."""
        hang_up(self._sock)

    def close(self):
        """Close the connection."""
        self._stop_watching()
        close_quietly(self._sock)

    def _read_head(self, limits, until):
        while True:
            end = self._pending.find(END_OF_HEAD)
            length = len(self._pending) if end < 0 else end
            if length > limits.max_header_bytes:
                raise MalformedMessage("the head is too large", HEAD_TOO_LARGE)
            if end >= 0:
                return end + len(END_OF_HEAD)
            self._pending += self._receive_more(until - self._read_clock())

    def _read_body(self, limits):
        parts = []
        size = 0
        while True:
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if event is h11.NEED_DATA:
                data = self._receive_more(limits.idle_timeout_s)
                self._http.receive_data(data)
                continue
            size += len(event.data)
            if size > limits.max_body_bytes:
                raise MalformedMessage("the body is too large", BODY_TOO_LARGE)
            parts.append(bytes(event.data))

    def _next_event(self):
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise MalformedMessage(str(error)) from error

    def _receive(self, timeout_s):
        return receive(self._sock, timeout_s)

    def _receive_more(self, timeout_s):
        data = self._receive(timeout_s)
        if not data:
            raise ConnectionBroken("ended within a request")
        return data

    def _encode(self, event):
        return self._http.send(event) or b""

    def _send(self, event):
        self.write(self._encode(event))

    def _watch(self, on_left):
        while len(self._pending) < READ_AHEAD_BYTES:
            try:
                data = self._receive(WATCH_S)
            except ConnectionBroken:
                data = b""
            if not data:
                self._ended = True
                on_left()
                return
            self._pending += data

    def _stop_watching(self):
        if self._watcher is not None:
            self._watcher.kill()
            self._watcher = None

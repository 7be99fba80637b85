"""Client side of a connection to an upstream or another HTTP server."""

import enum
from dataclasses import dataclass

import eventlet
import h11

from .._errors import (
    ConnectionBroken,
    ConnectionTimedOut,
    MalformedMessage,
    MemoryExhausted,
)
from .fields import Fields, encode_pairs
from .sockets import (
    LATE_READ_S,
    OUTGOING_RECEIVE_BUFFER_BYTES,
    RECEIVE_SIZE_BYTES,
    STREAM_RECEIVE_BUFFER_BYTES,
    EventTurns,
    Receiver,
    close_quietly,
    is_open_without_input,
    open_connection,
    send,
    set_receive_buffer,
    shut_down,
)

MAX_INLINE_REQUEST_BYTES = 32768
"""Up to this size, a request is written before its response is read. A larger one is
written in the background, as an upstream may respond before it has read it."""
MAX_HEAD_BYTES = 65536
MAX_STATUS = 599
MIN_BODY_S = 2.0
"""Time that a long body may take however few bytes arrive."""
MIN_BYTES_PER_S = 16384
"""Rate of a long body after that; a sender that is slower is as good as silent."""
MAX_INTERIM_RESPONSES = 8
"""A server sends one or two before a response."""
MAX_SKIPPED_BYTES = 1 << 20
"""Bytes of responses to other requests that are read before the awaited one."""


class Framing(enum.StrEnum):
    """What marks the end of a response body; RFC 9112, section 6.3."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


def build_restart_error():
    """Return the error of an exchange with an upstream that has restarted."""
    return ConnectionBroken("upstream restarted")


def build_room_error():
    """Return the error of an exchange that was ended for the memory of others."""
    return MemoryExhausted("ended, as others need the memory")


@dataclass(frozen=True)
class ResponseHead:
    """Status and header fields of a response; the body has not been read yet."""

    status: int
    fields: Fields

    @property
    def framing(self):
        """The :class:`Framing` of the body."""
        if self.fields.has_token("transfer-encoding", "chunked"):
            return Framing.CHUNKED
        if self.fields.get("content-length") is not None:
            return Framing.LENGTH
        return Framing.CLOSE

    @property
    def length(self):
        """Bytes of the body according to its Content-Length field, or None."""
        if self.framing is not Framing.LENGTH:
            return None
        return int(self.fields.get("content-length"))


class UpstreamConnection:
    """Sends requests and reads their responses, one exchange at a time.

    Methods that wait take *deadline*, a time on *read_clock*. They raise
    :class:`ConnectionBroken` after the deadline, if the server closes the connection,
    or if it sends an invalid response.
    """

    def __init__(self, address, read_clock, connect_timeout_s, source_host=None):
        self.address = address
        self._read_clock = read_clock
        self._sock = open_connection(address, connect_timeout_s, source_host)
        self._receiver = Receiver(self._sock)
        self._buffer_bytes = STREAM_RECEIVE_BUFFER_BYTES
        self._turns = EventTurns()
        self._interim_count = 0
        self._skipped_bytes = 0
        self._skipped_end = b""
        self._protocol = make_protocol()
        self._request = None
        self._send_thread = None
        self._send_failure = None
        self._must_close = False
        self._build_abort_error = None
        self.exchange_count = 0
        self.idle_since = 0.0
        self.keep_alive_timeout_s = None

    def send_request(self, method, target, pairs, body, deadline):
        """Send a request, with a Content-Length field if it may have a body."""
        self.exchange_count += 1
        self._receiver.read_bytes = RECEIVE_SIZE_BYTES
        self._interim_count = 0
        self._skipped_bytes = 0
        self._skipped_end = b""
        headers = list(pairs)
        if body or method not in ("GET", "HEAD", "DELETE"):
            headers.append(("content-length", str(len(body))))
        self._request = h11.Request(
            method=method, target=target, headers=encode_pairs(headers)
        )
        data = self._protocol.send(self._request)
        if body:
            data += self._protocol.send(h11.Data(data=body))
        data += self._protocol.send(h11.EndOfMessage())
        if len(data) <= MAX_INLINE_REQUEST_BYTES:
            send(self._sock, data, deadline - self._read_clock())
        else:
            # A GreenThread that is killed keeps the error, and with it what it sends.
            self._send_thread = eventlet.spawn_n(
                self._send_in_background, data, deadline
            )

    def read_head(self, deadline):
        """Return the :class:`ResponseHead`, skipping informational responses.

        Raises :class:`ConnectionBroken` if there are too many of them.
        """
        while True:
            event = self._next_event(deadline)
            if isinstance(event, h11.InformationalResponse):
                self._interim_count += 1
                if self._interim_count > MAX_INTERIM_RESPONSES:
                    raise ConnectionBroken("too many interim responses")
                continue
            if not isinstance(event, h11.Response):
                raise ConnectionBroken("connection closed before the response head")
            if event.status_code > MAX_STATUS:
                # RFC 9110, section 15: such a status is invalid.
                raise ConnectionBroken(f"malformed response: {event.status_code}")
            fields = Fields.decode(event.headers)
            self._apply_connection_fields(fields)
            return ResponseHead(event.status_code, fields)

    def limit_reads(self, read_bytes):
        """Read at most so many bytes at a time until the next request.

        The server may not send much more until they are read.
        """
        self._receiver.read_bytes = read_bytes
        self._resize_buffer(STREAM_RECEIVE_BUFFER_BYTES)

    def read_part(self, deadline):
        """Return the next bytes of the body, b"" once it is complete."""
        event = self._next_event(deadline)
        if isinstance(event, h11.EndOfMessage):
            return b""
        if isinstance(event, h11.Data):
            return bytes(event.data)
        raise ConnectionBroken("connection closed within the response body")

    def skip_response(self, deadline, awaited_id):
        """Read the rest of a response to another request, and drop it.

        The head of the next response can be read then; the connection is not reusable
        any more. May be called again after :class:`ConnectionTimedOut`. Raises
        :class:`ConnectionBroken` if *awaited_id*, the bytes of the id in the awaited
        response, occurs in what is dropped: the other response was cut short or has no
        known end, and the awaited one was read as a part of it.
        """
        while part := self.read_part(deadline):
            self._skipped_bytes += len(part)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                raise ConnectionBroken("response to another request is too long")
            text = self._skipped_end + part
            if awaited_id in text:
                raise ConnectionBroken("response to another request was cut short")
            self._skipped_end = text[max(0, len(text) - len(awaited_id) + 1) :]
        self._skipped_end = b""
        if self._must_close or self._protocol.their_state is not h11.DONE:
            raise ConnectionBroken("connection closed after another response")
        data, _ = self._protocol.trailing_data
        self._protocol = make_protocol()
        # The method of the request tells whether a response has a body.
        self._protocol.send(self._request)
        if data:
            self._protocol.receive_data(data)

    def read_body(self, deadline, max_bytes, record_size=lambda size: None):
        """Return the whole body.

        Raises :class:`ConnectionBroken` if it is longer than *max_bytes*.
        *record_size* is called with the size of what has arrived.
        """
        return join_parts(lambda: self.read_part(deadline), max_bytes, record_size)

    def read_long_body(self, max_pause_s, max_bytes):
        """Return the whole body, which may take as long as its length needs.

        Raises :class:`ConnectionBroken` if nothing arrives for *max_pause_s*, if the
        body arrives too slowly on the whole, or if it is longer than *max_bytes*.
        """
        started_at = self._read_clock()
        size = 0

        def read_next():
            nonlocal size
            now = self._read_clock()
            slowest_end = started_at + MIN_BODY_S + size / MIN_BYTES_PER_S
            part = self.read_part(min(now + max_pause_s, slowest_end))
            size += len(part)
            return part

        return join_parts(read_next, max_bytes)

    def make_reusable(self, now):
        """Prepare for the next exchange; return whether there can be one."""
        if self._must_close or (
            self._send_thread is not None and not self._send_thread.dead
        ):
            return False
        if self.exchange_count == 0:
            self.idle_since = now
            return True
        if self._protocol.our_state is not h11.DONE:
            return False
        if (
            self._protocol.their_state is not h11.DONE
            or self._protocol.trailing_data[0]
        ):
            return False
        self._protocol.start_next_cycle()
        self._send_thread = None
        self.idle_since = now
        return True

    def is_usable(self):
        """Return whether the idle connection is open and has no unread input."""
        return is_open_without_input(self._sock)

    def abort(self, build_error=build_restart_error):
        """Abort the exchange in progress: its reads raise what *build_error* returns.

        The end of the stream alone would make a response without length look complete.
        """
        # The traceback of an error that is kept holds the body that is being read, and
        # this connection: a cycle, freed much later than the memory budget counts.
        self._build_abort_error = build_error
        shut_down(self._sock)

    def make_room(self):
        """Abort the exchange in progress, as others need the memory."""
        self.abort(build_room_error)

    def close(self):
        """Close the connection; an upstream then cancels the request in progress."""
        if self._send_thread is not None:
            eventlet.kill(self._send_thread)
        close_quietly(self._sock)

    def _send_in_background(self, data, deadline):
        try:
            send(self._sock, data, deadline - self._read_clock())
        except ConnectionBroken as error:
            # Not the error itself, which would hold *data* as long as the connection.
            self._send_failure = str(error)
            self._must_close = True

    def _next_event(self, deadline):
        while True:
            self._limit_turn(deadline)
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionBroken(f"malformed response: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            if self._reads_body_at_once():
                self._resize_buffer(OUTGOING_RECEIVE_BUFFER_BYTES)
            data = self._receiver.receive(deadline - self._read_clock())
            self._turns.restart()
            if self._build_abort_error is not None:
                raise self._build_abort_error()
            if not data:
                self._check_end()
            self._protocol.receive_data(data)

    def _check_end(self):
        """Handle the end of the stream, which may be the end of a response.

        Raises :class:`ConnectionBroken` if the request couldn't be written. The kernel
        reports a reset once: reads that follow a failed write see only the end of the
        stream, which would make a response without length look complete.
        """
        self._must_close = True
        if self._send_failure is not None:
            raise ConnectionBroken(f"broken off: {self._send_failure}")

    def _reads_body_at_once(self):
        """Whether the rest of a body is read without waits for a caller."""
        is_body = self._protocol.their_state is h11.SEND_BODY
        return is_body and self._receiver.read_bytes == RECEIVE_SIZE_BYTES

    def _resize_buffer(self, size):
        if size != self._buffer_bytes:
            set_receive_buffer(self._sock, size)
            self._buffer_bytes = size

    def _limit_turn(self, deadline):
        if self._turns.count_event() and self._read_clock() >= deadline + LATE_READ_S:
            raise ConnectionTimedOut("read timed out")

    def _apply_connection_fields(self, fields):
        if fields.has_token("connection", "close"):
            self._must_close = True
        for part in (fields.get("keep-alive") or "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdecimal():
                self.keep_alive_timeout_s = float(value)


def make_protocol():
    """Return the protocol state of a client."""
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)


def join_parts(read_part, max_bytes, record_size=lambda size: None):
    """Return the body of which *read_part* returns the parts, b"" at its end.

    Raises :class:`ConnectionBroken` if it is longer than *max_bytes*. *record_size* is
    called with the size of what has arrived.
    """
    # A list of small parts would take many times their size.
    body = bytearray()
    while part := read_part():
        if len(body) + len(part) > max_bytes:
            raise ConnectionBroken("response body exceeds the size limit")
        body += part
        record_size(len(body))
    return bytes(body)


def call(
    connection, method, target, pairs, body, deadline, max_bytes, max_pause_s=None
):
    """Send a request and return the head and the body of its response.

    With *max_pause_s* only the head has to arrive until *deadline*, and the body is
    read like a long one. A deadline can't allow for the length of a body on a slow
    link.

    Raises :class:`ConnectionBroken`, :class:`MalformedMessage` for an encoded body.
    """
    connection.send_request(method, target, pairs, body, deadline)
    head = connection.read_head(deadline)
    if head.fields.get("content-encoding"):
        raise MalformedMessage("response has a Content-Encoding field", 502)
    if max_pause_s is None:
        return head, connection.read_body(deadline, max_bytes)
    return head, connection.read_long_body(max_pause_s, max_bytes)

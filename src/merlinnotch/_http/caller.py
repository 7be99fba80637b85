"""Server side of a caller's connection."""

import contextlib
import functools
import socket
from dataclasses import dataclass

import eventlet
import h11

from .._errors import (
    CallerDisconnected,
    ConnectionBroken,
    ConnectionTimedOut,
    MalformedMessage,
    MemoryExhausted,
)
from .._limits import MAX_STEP_S, MemoryBudget, TransferPace
from .fields import Fields, encode_pairs
from .head import END_OF_HEAD, check_framing, check_raw_head
from .idle import IdleState
from .sockets import (
    EventTurns,
    Receiver,
    close_quietly,
    is_open_without_input,
    reset_on_close,
    send_paced,
    shut_down,
)

HEAD_TOO_LARGE_STATUS = 431
BODY_TOO_LARGE_STATUS = 413
TOO_SLOW_STATUS = 408
MAX_READ_AHEAD_BYTES = 64 << 10
"""Limit on pipelined bytes that are read during a request. Beyond it, a disconnect of
the caller is only detected at the next write."""
MAX_JOINED_BYTES = 64 << 10
"""Up to this size, head and body of a response are written as one block. The copy of a
larger one would be held until its caller has read it."""
WATCH_TIMEOUT_S = 3600.0
"""Longer than any request takes."""
CLOSE_FIELD = ("connection", "close")


@dataclass
class CallerRequest:
    """A complete request as the caller sent it.

    *target* is the unmodified path with its query. *received_at* is the time at which
    the first bytes of the request were available, *completed_at* that of the last ones.
    """

    method: str
    target: str
    fields: Fields
    body: bytes
    received_at: float
    completed_at: float

    @property
    def host(self):
        """The value of the Host field."""
        return self.fields.get("host", "")


class CallerConnection:
    """Reads requests one after the other and writes their responses.

    *read_clock* returns the time in seconds; *write_timeout_s* limits how long the
    caller may accept no bytes of a response, and how much longer it may take than at
    the least rate of a :class:`TransferPace`.
    *record_bytes* is called with the size of each block that is read or written.
    *memory* is the :class:`MemoryBudget` for bodies of requests.
    *write_pace* is the :class:`TransferPace` at which the caller reads a response.
    *is_kept* is set once a request has been answered and another one may follow.
    """

    def __init__(
        self,
        sock,
        read_clock,
        write_timeout_s,
        record_bytes=lambda size: None,
        memory=None,
    ):
        self._sock = sock
        self._receiver = Receiver(sock)
        self._read_clock = read_clock
        self.write_pace = TransferPace(write_timeout_s)
        self._record_bytes = record_bytes
        self._memory = memory or MemoryBudget(0)
        self._holding = self._memory.hold()
        self._buffer = b""
        self._protocol = None
        self._disconnect_watcher = None
        self._is_broken = False
        self.keep_alive = True
        self.response_started = False
        self._sends_body = True
        self.is_kept = False
        self._idle_state = IdleState(sock)

    @property
    def is_idle(self):
        """Whether nothing of the next request has arrived, read or not."""
        return self._idle_state.is_idle

    @property
    def has_read_ahead(self):
        """Whether bytes after the request in progress have been read."""
        return bool(self._buffer or self._protocol.trailing_data[0])

    @property
    def has_input(self):
        """Whether something has arrived after the last request, read or not."""
        return bool(self._buffer) or not is_open_without_input(self._sock)

    def wait_for_request(self, idle_timeout_s):
        """Wait for the first byte of the next request.

        Return whether it has arrived; otherwise the connection has ended. Raises
        :class:`ConnectionBroken` if the connection fails, and its subclass
        :class:`ConnectionTimedOut` after *idle_timeout_s*.
        """
        self._idle_state.awaits_input = not self._buffer
        if not self._buffer:
            self._buffer = self._receive(idle_timeout_s)
        self._idle_state.awaits_input = False
        return bool(self._buffer) and not self._idle_state.is_shut_down

    def read_request(self, limits, idle_timeout_s):
        """Return the next request, or None at the end of the connection.

        Waits up to *idle_timeout_s* for its first byte. Raises
        :class:`MalformedMessage` if the request must not be forwarded,
        :class:`MemoryExhausted` if there is no memory for its body, and
        :class:`ConnectionBroken` if the connection fails or a wait times out.
        """
        if not self.wait_for_request(idle_timeout_s):
            return None
        received_at = self._read_clock()
        head_end = self._read_head(limits, received_at + limits.header_timeout_s)
        check_raw_head(self._buffer[:head_end])
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_header_bytes + head_end
        )
        raw, self._buffer = self._buffer, b""
        self._protocol.receive_data(raw)
        event = self._next_event()
        fields = Fields.decode(event.headers)
        target = event.target.decode("ascii")
        check_framing(fields, target)
        self.keep_alive = not fields.has_token("connection", "close")
        self.response_started = False
        self._sends_body = event.method != b"HEAD"
        if self._protocol.they_are_waiting_for_100_continue:
            self._send_event(h11.InformationalResponse(status_code=100, headers=[]))
        body = self._read_body(limits)
        return CallerRequest(
            event.method.decode("ascii"),
            target,
            fields,
            body,
            received_at,
            self._read_clock(),
        )

    def watch_disconnect(self, on_disconnect):
        """Call *on_disconnect* once if the caller disconnects before :meth:`finish`."""
        # A GreenThread that is killed keeps the error, and with it the request.
        self._disconnect_watcher = eventlet.spawn_n(
            self._watch_for_disconnect, on_disconnect
        )

    def encode_head(self, status, pairs, length=None):
        """Return the encoded head; without *length* the body is sent in chunks."""
        headers = list(pairs)
        if length is None:
            headers.append(("transfer-encoding", "chunked"))
        else:
            headers.append(("content-length", str(length)))
        if not self.keep_alive:
            headers.append(CLOSE_FIELD)
        self.response_started = True
        self.write_pace.reset()
        return self._encode(
            h11.Response(status_code=status, headers=encode_pairs(headers))
        )

    def encode_data(self, data):
        """Return the encoded next part of the body."""
        return self._encode(h11.Data(data=data))

    def encode_end(self):
        """Return the encoded end of the response."""
        return self._encode(h11.EndOfMessage())

    def write(self, data, stalled_bytes=0):
        """Send encoded bytes; raises :class:`CallerDisconnected` if this fails.

        *stalled_bytes* is what is held in no :class:`MemoryBudget` as long as the
        caller doesn't read.
        """
        self._record_bytes(len(data))
        hold = functools.partial(
            self._memory.hold_stalled,
            stalled_bytes,
            self.end_response,
            self.write_pace,
        )
        try:
            send_paced(self._sock, data, self.write_pace, self._read_clock, hold)
        except ConnectionBroken as error:
            self._is_broken = True
            raise CallerDisconnected(str(error)) from error

    def send_response(self, status, pairs, body):
        """Send a complete response; to a HEAD request, without *body*."""
        head = self.encode_head(status, pairs, len(body))
        data = self.encode_data(body) if body and self._sends_body else b""
        end = self.encode_end()
        if len(data) <= MAX_JOINED_BYTES:
            self.write(head + data + end)
            return
        self.write(head)
        self.write(data + end)

    def end_response(self):
        """Disconnect the caller, as others need the memory of its response."""
        shut_down(self._sock)

    def finish(self):
        """End the request; return whether another one may follow."""
        self._stop_watching()
        self._holding.release()
        if self._is_broken or not self.keep_alive or self._protocol is None:
            return False
        if self._protocol.our_state is not h11.DONE:
            return False
        if self._protocol.their_state is not h11.DONE:
            return False
        self._buffer = self._protocol.trailing_data[0] + self._buffer
        self.is_kept = True
        return True

    def send_error(self, status, retry_after_s=None):
        """Send an error response to a request that was not read, and no other one."""
        reason = b"HTTP/1.1 %d Refused\r\n" % status
        if retry_after_s is not None:
            reason += b"retry-after: %d\r\n" % retry_after_s
        with contextlib.suppress(CallerDisconnected):
            self.write(reason + b"content-length: 0\r\nconnection: close\r\n\r\n")

    def shut_down(self):
        """Shut the connection down; a waiting :meth:`read_request` returns None.

        Input that has arrived, or arrives later, is dropped.
        """
        self._idle_state.shut_down()

    def close(self):
        """Close the connection, marking a response in progress as incomplete."""
        self._stop_watching()
        self._holding.release()
        if self._is_response_close_delimited():
            reset_on_close(self._sock)
        close_quietly(self._sock)

    def _read_head(self, limits, deadline):
        while True:
            end = self._buffer.find(END_OF_HEAD)
            length = len(self._buffer) if end < 0 else end
            if length > limits.max_header_bytes:
                raise MalformedMessage(
                    "request head exceeds the size limit", HEAD_TOO_LARGE_STATUS
                )
            if end >= 0:
                return end + len(END_OF_HEAD)
            self._buffer += self._receive_more(deadline - self._read_clock())

    def _read_body(self, limits):
        pace = TransferPace(limits.idle_timeout_s)
        self._holding = self._memory.hold(self._end_reading, pace)
        # A list of small parts would take many times their size.
        body = bytearray()
        turns = EventTurns()
        while True:
            turns.count_event()
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                self._holding.settle()
                return bytes(body)
            if event is h11.NEED_DATA:
                self._protocol.receive_data(self._receive_paced(pace))
                continue
            if len(body) + len(event.data) > limits.max_body_bytes:
                raise MalformedMessage(
                    "request body exceeds the size limit", BODY_TOO_LARGE_STATUS
                )
            body += event.data
            self._holding.resize(len(body))

    def _end_reading(self):
        """End the wait for the rest of a body, as others need the memory."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RD)

    def _receive_paced(self, pace):
        """Return the next bytes of a body that the caller sends at *pace*."""
        data = None
        while data is None:
            if pace.is_too_slow:
                raise MalformedMessage("request arrives too slowly", TOO_SLOW_STATUS)
            waiting_since = self._read_clock()
            with contextlib.suppress(ConnectionTimedOut):
                data = self._receive(MAX_STEP_S)
            pace.record_wait(self._read_clock() - waiting_since)
        if self._holding.is_ended:
            raise MemoryExhausted("ended, as others need the memory")
        if not data:
            raise ConnectionBroken("connection closed within a request")
        pace.record_bytes(len(data))
        return data

    def _next_event(self):
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            raise MalformedMessage(str(error)) from error

    def _receive(self, timeout_s):
        data = self._receiver.receive(timeout_s)
        self._record_bytes(len(data))
        return data

    def _receive_more(self, timeout_s):
        data = self._receive(timeout_s)
        if not data:
            raise ConnectionBroken("connection closed within a request")
        return data

    def _is_response_close_delimited(self):
        """Return whether closing would make the response in progress look complete."""
        protocol = self._protocol
        return (
            protocol is not None
            and protocol.our_state is h11.SEND_BODY
            and protocol.their_http_version == b"1.0"
        )

    def _encode(self, event):
        return self._protocol.send(event) or b""

    def _send_event(self, event):
        self.write(self._encode(event))

    def _watch_for_disconnect(self, on_disconnect):
        while len(self._buffer) < MAX_READ_AHEAD_BYTES:
            try:
                data = self._receive(WATCH_TIMEOUT_S)
            except ConnectionBroken:
                data = b""
            if not data:
                self._is_broken = True
                on_disconnect()
                return
            self._buffer += data

    def _stop_watching(self):
        if self._disconnect_watcher is not None:
            eventlet.kill(self._disconnect_watcher)
            self._disconnect_watcher = None

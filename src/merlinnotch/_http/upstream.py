"""One connection to an upstream, or to any other HTTP server."""

from dataclasses import dataclass

import eventlet
import h11

from .._errors import ConnectionBroken, MalformedMessage
from .fields import Fields
from .sockets import (
    close_quietly,
    hang_up,
    is_quiet,
    open_connection,
    receive,
    send,
)

INLINE_BODY_BYTES = 32768
"""Up to this size a request is written before its answer is looked at; a
larger one is written beside, as an upstream may answer before it has read it."""
MAX_HEAD_BYTES = 65536


@dataclass(frozen=True)
class AnswerHead:
    """Status and fields of an answer whose body is still to come."""

    status: int
    fields: Fields


class UpstreamConnection:
    """Carries one exchange at a time.

    Every method that waits takes *until*, an instant on *read_clock*, and
    raises :class:`ConnectionBroken` when it passes, when the other side ends
    the connection, or sends what is not an answer.
    """

    def __init__(self, address, read_clock, connect_s):
        self.address = address
        self._read_clock = read_clock
        self._sock = open_connection(address, connect_s)
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._sender = None
        self._closing = False
        self._broken_off = False
        self.uses = 0
        self.idle_since = 0.0
        self.keep_alive_s = None

    def send_request(self, method, target, pairs, body, until):
        """Send a request whose length is known."""
        self.uses += 1
        headers = list(pairs)
        if body or method not in ("GET", "HEAD", "DELETE"):
            headers.append(("content-length", str(len(body))))
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._http.send(request)
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        if len(data) <= INLINE_BODY_BYTES:
            send(self._sock, data, until - self._read_clock())
        else:
            self._sender = eventlet.spawn(self._send_beside, data, until)

    def read_head(self, until):
        """Return the :class:`AnswerHead`, informational answers left out."""
        while True:
            event = self._next_event(until)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise ConnectionBroken("closed without an answer")
            fields = Fields.decode(event.headers)
            self._note_connection_fields(fields)
            return AnswerHead(event.status_code, fields)

    def read_part(self, until):
        """Return the next bytes of the body, b"" once it is complete."""
        event = self._next_event(until)
        if isinstance(event, h11.EndOfMessage):
            return b""
        if isinstance(event, h11.Data):
            return bytes(event.data)
        raise ConnectionBroken("closed within an answer")

    def read_body(self, until, most):
        """Return the whole body; raises beyond *most* bytes."""
        parts = []
        size = 0
        while part := self.read_part(until):
            size += len(part)
            if size > most:
                raise ConnectionBroken("the body is too long")
            parts.append(part)
        return b"".join(parts)

    def make_reusable(self, now):
        """Prepare for the next exchange; return whether there can be one."""
        if self._closing or (self._sender is not None and not self._sender.dead):
            return False
        if self.uses == 0:
            self.idle_since = now
            return True
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE or self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        self._sender = None
        self.idle_since = now
        return True

    def is_usable(self):
        """Return whether nothing came or ended while it was idle."""
        return is_quiet(self._sock)

    def break_off(self):
        """Let whoever waits for bytes here see a broken connection.

        The end of bytes alone would make an answer without length look whole.
        """
        self._broken_off = True
        hang_up(self._sock)

    def close(self):
        """Close the connection; an upstream drops the work on it."""
        if self._sender is not None:
            self._sender.kill()
        close_quietly(self._sock)

    def _send_beside(self, data, until):
        try:
            send(self._sock, data, until - self._read_clock())
        except ConnectionBroken:
            # The reader meets the same broken connection and reports it.
            self._closing = True

    def _next_event(self, until):
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionBroken(f"malformed: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            data = receive(self._sock, until - self._read_clock())
            if self._broken_off:
                raise ConnectionBroken("the upstream started again")
            self._closing = self._closing or not data
            self._http.receive_data(data)

    def _note_connection_fields(self, fields):
        if fields.has_token("connection", "close"):
            self._closing = True
        for part in (fields.get("keep-alive") or "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                self.keep_alive_s = float(value)


def call(connection, method, target, pairs, body, until, most):
    """Make one whole exchange; return the head and the body."""
    connection.send_request(method, target, pairs, body, until)
    head = connection.read_head(until)
    if head.fields.get("content-encoding"):
        raise MalformedMessage("the body is encoded", 502)
    return head, connection.read_body(until, most)

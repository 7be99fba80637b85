"""Stand-in of the platform's servers, with scripted raw answers."""

import eventlet

from merlinnotch._entry.clock import read_clock
from merlinnotch._errors import TransportError
from merlinnotch._http.caller import CallerConnection
from merlinnotch._http.listener import Listener
from merlinnotch._http.server import RequestLimits
from merlinnotch._http.sockets import shut_down

IDLE_TIMEOUT_S = 30.0


class StandInUpstream:
    """HTTP server that answers each request with *script(request, write)*.

    A script writes raw bytes and returns whether the connection stays open.
    *requests* holds the received requests. *disconnect_count* is the number of callers
    that closed the connection before the script ended.
    """

    def __init__(self, script, address="127.0.0.1:0"):
        self.script = script
        self.requests = []
        self.connection_count = 0
        self.disconnect_count = 0
        self._open_sockets = set()
        self._listener = Listener(address, self._serve)
        self.address = self._listener.address

    def close(self):
        """Stop listening; open connections stay open."""
        self._listener.close()

    def crash(self):
        """Stop listening and close all open connections."""
        self._listener.close()
        for sock in list(self._open_sockets):
            shut_down(sock)

    def make_connection(self, sock):
        """Return the connection that serves *sock*."""
        return CallerConnection(sock, read_clock, 5.0)

    def _serve(self, sock):
        self.connection_count += 1
        self._open_sockets.add(sock)
        connection = self.make_connection(sock)
        try:
            while True:
                request = connection.read_request(RequestLimits(), IDLE_TIMEOUT_S)
                if request is None:
                    return
                self.requests.append(request)
                connection.watch_disconnect(self._count_disconnect)
                if not self.script(request, connection.write):
                    return
                # The script bypassed the connection state; mark the answer as sent.
                connection.encode_head(200, [], 0)
                connection.encode_end()
                if not connection.finish():
                    return
        except TransportError:
            return
        finally:
            self._open_sockets.discard(sock)

    def _count_disconnect(self):
        self.disconnect_count += 1


def make_answer(request, body=b"done", status=200, extra=(), close=False):
    """Return the bytes of a complete answer to *request*."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}", "x-server-seal: s"]
    lines.append(f"x-attempt-id: {request.fields.get('x-attempt-id', '')}")
    lines += [f"{name}: {value}" for name, value in extra]
    if close:
        lines.append("connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def make_answer_script(body=b"done", status=200, extra=(), close=False):
    """Return a script that answers immediately."""

    def script(request, write):
        write(make_answer(request, body, status, extra, close))
        return not close

    return script


def make_stream_script(first=1, last=4, stop_after=None, extra=(), pause_s=0.0):
    """Return a script that streams the events *first* to *last*.

    With *stop_after* the script aborts in the middle of the event after that one.
    A request with Last-Event-ID is answered from the event after that id.
    """

    def script(request, write):
        start = int(request.fields.get("last-event-id", first - 1)) + 1
        stop_at = None if stop_after is None else max(start, stop_after + 1)
        events = [
            (number, b"id: %d\ndata: piece %d\n\n" % (number, number))
            for number in range(start, last + 1)
        ]
        return write_stream(request, write, events, stop_at, extra, pause_s)

    return script


def write_stream(request, write, events, stop_at=None, extra=(), pause_s=0.0):
    """Write *events*, pairs of (number, bytes), as a chunked event stream.

    Aborts in the middle of the event numbered *stop_at*. Return whether the
    connection stays open.
    """
    lines = ["HTTP/1.1 200 X", "transfer-encoding: chunked", "x-server-seal: s"]
    lines.append("content-type: text/event-stream")
    lines.append(f"x-attempt-id: {request.fields.get('x-attempt-id', '')}")
    lines += [f"{name}: {value}" for name, value in extra]
    write("\r\n".join(lines).encode() + b"\r\n\r\n")
    for number, event in events:
        if number == stop_at:
            write(b"%x\r\n%s" % (len(event), event[:7]))
            return False
        write(b"%x\r\n%s\r\n" % (len(event), event))
        eventlet.sleep(pause_s)
    write(b"0\r\n\r\n")
    return True


def hang(request, write):
    """Script that never answers."""
    eventlet.sleep(3600)
    return False


def reset(request, write):
    """Script that closes the connection without an answer."""
    return False


def refuse(request, write):
    """Script that answers 503 with x-not-executed."""
    write(make_answer(request, b"", 503, [("x-not-executed", "1")]))
    return True

"""A small HTTP server for readiness, metrics and peers."""

from dataclasses import dataclass

from .._errors import MalformedMessage, MemoryExhausted, TransportError
from .caller import CallerConnection
from .listener import Listener

IDLE_TIMEOUT_S = 20.0
WRITE_TIMEOUT_S = 2.0
UNAVAILABLE = 503


@dataclass(frozen=True)
class RequestLimits:
    """Limits on requests to an :class:`HttpServer`."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 1 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 5.0


class HttpServer:
    """Serves *respond*, which returns status, header pairs and body for a request.

    *limits* are the :class:`RequestLimits`. *record_bytes* is called with the size of
    each block that is read or written. *memory* is the :class:`MemoryBudget` for bodies
    of requests.
    """

    def __init__(
        self,
        address,
        respond,
        read_clock,
        limits=None,
        record_bytes=lambda size: None,
        memory=None,
    ):
        self._memory = memory
        self._record_bytes = record_bytes
        self._respond = respond
        self._read_clock = read_clock
        self._limits = limits or RequestLimits()
        self._listener = Listener(address, self._serve)
        self.address = self._listener.address

    def close(self):
        """Stop accepting connections."""
        self._listener.close()

    def _serve(self, sock):
        connection = CallerConnection(
            sock, self._read_clock, WRITE_TIMEOUT_S, self._record_bytes, self._memory
        )
        try:
            remote_host = sock.getpeername()[0]
            while self._serve_one(connection, remote_host):
                pass
        except MalformedMessage as error:
            connection.send_error(error.status)
        except MemoryExhausted:
            connection.send_error(UNAVAILABLE)
        except TransportError:
            # The client disconnected or timed out, so that it expects no response.
            return
        finally:
            connection.close()

    def _serve_one(self, connection, remote_host):
        request = connection.read_request(self._limits, IDLE_TIMEOUT_S)
        if request is None:
            return False
        self.answer(request, connection, remote_host)
        return connection.finish()

    def answer(self, request, connection, remote_host):
        """Write the response to *request* to *connection*."""
        connection.send_response(*self._respond(request))

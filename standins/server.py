"""JSON-over-HTTP server shared by the stand-ins.

Importing this module applies eventlet's monkey patch; import it before any module
that opens sockets.
"""

import warnings

warnings.filterwarnings("ignore")

import eventlet

eventlet.monkey_patch()

import eventlet.wsgi
import json
import signal
import socket
import sys
import urllib.parse
from dataclasses import dataclass, field

HANG_S = 3600.0
REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    404: "Not Found",
    410: "Gone",
    429: "Busy",
}


@dataclass
class Request:
    """Parsed HTTP request."""

    method: str
    path: str
    query: dict
    headers: dict
    body: bytes
    source_ip: str

    def json(self):
        """Return the body as JSON."""
        return json.loads(self.body or b"{}")


@dataclass
class Reply:
    """HTTP reply; *body* is JSON-serializable, bytes, or an iterator of bytes."""

    body: object = None
    status: int = 200
    headers: dict = field(default_factory=dict)


def change_switches(switches, request):
    """Set the switches in the body of *request*; return a reply with all switches."""
    for name, value in request.json().items():
        setattr(switches, name, value)
    return Reply(vars(switches))


def serve(address, handle):
    """Serve *handle*, a function from Request to Reply, until SIGTERM."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    listen(address, handle)


def listen(address, handle):
    """Serve *handle* in the calling green thread; never returns."""
    host, _, port = address.partition(":")
    listener = eventlet.listen((host, int(port)), backlog=1024)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    eventlet.wsgi.server(
        listener,
        _Application(handle),
        log_output=False,
        max_size=8192,
        minimum_chunk_size=1,
    )


class _Application:
    """WSGI application for *handle*.

    ``PUT /standin/cut`` sets the source addresses whose requests are never answered.
    """

    def __init__(self, handle):
        self._handle = handle
        self._blocked_ips = set()

    def __call__(self, environ, start_response):
        if environ["REMOTE_ADDR"] in self._blocked_ips:
            eventlet.sleep(HANG_S)
        length = int(environ.get("CONTENT_LENGTH") or 0)
        request = Request(
            environ["REQUEST_METHOD"],
            environ["PATH_INFO"],
            dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", ""), True)),
            {k[5:]: v for k, v in environ.items() if k.startswith("HTTP_")},
            environ["wsgi.input"].read(length) if length else b"",
            environ["REMOTE_ADDR"],
        )
        if request.path == "/standin/cut":
            self._blocked_ips = set(request.json())
            reply = Reply(True)
        else:
            reply = self._handle(request)
        body, headers = reply.body, dict(reply.headers)
        if not isinstance(body, bytes) and not hasattr(body, "__next__"):
            body = json.dumps(body).encode()
            headers.setdefault("Content-Type", "application/json")
        if isinstance(body, bytes):
            headers["Content-Length"] = str(len(body))
            body = [body]
        status = f"{reply.status} {REASON_PHRASES.get(reply.status, 'Status')}"
        start_response(status, list(headers.items()))
        return body

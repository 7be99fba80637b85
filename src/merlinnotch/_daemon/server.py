"""The WSGI server for callers."""

import eventlet
import eventlet.wsgi

from .listener import open_listener

MAX_CONNECTIONS = 4096
CALLER_IDLE_TIMEOUT_S = 75.0


class CallerServer:
    """Serves the WSGI application *app* on *address*, a host:port pair."""

    def __init__(self, address, app):
        self._accept_thread = eventlet.spawn(
            eventlet.wsgi.server,
            open_listener(address),
            app,
            log_output=False,
            max_size=MAX_CONNECTIONS,
            socket_timeout=CALLER_IDLE_TIMEOUT_S,
            # By default, the server would buffer tokens of streamed responses.
            minimum_chunk_size=1,
            debug=False,
        )

    def stop_accepting(self):
        """Stop accepting connections, and close those that are idle."""
        self._accept_thread.kill()

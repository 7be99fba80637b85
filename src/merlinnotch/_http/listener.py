"""Accepting connections, each served in its own green thread."""

import logging

import eventlet
from eventlet.greenio import GreenSocket

from .sockets import close_quietly, listen, reset_on_close, set_socket_options

logger = logging.getLogger("merlinnotch")

ACCEPT_RETRY_DELAY_S = 0.05


class Listener:
    """Accepts connections on *address* and calls *serve* with each socket.

    *sock* is a listening socket to use instead of opening *address*. *prepare* is
    called once, before the first connection is accepted. Connections for which
    *try_accept* returns false are reset before anything is read.
    """

    def __init__(
        self,
        address,
        serve,
        sock=None,
        prepare=lambda: None,
        try_accept=lambda: True,
    ):
        self._socket = listen(address) if sock is None else GreenSocket(sock)
        self._prepare = prepare
        self._try_accept = try_accept
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        self._serve = serve
        self._accept_thread = eventlet.spawn(self._accept)

    def close(self):
        """Stop accepting; open connections stay open."""
        self._accept_thread.kill()
        close_quietly(self._socket)

    def _accept(self):
        self._prepare()
        while True:
            try:
                sock, _ = self._socket.accept()
            except OSError as error:
                # Usually out of file descriptors, which other connections will release.
                logger.warning("accept failed", extra={"reason": str(error)})
                eventlet.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            if self._try_accept():
                eventlet.spawn_n(self._handle_connection, sock)
            else:
                reset_on_close(sock)
                close_quietly(sock)

    def _handle_connection(self, sock):
        try:
            set_socket_options(sock)
            self._serve(sock)
        except OSError as error:
            logger.info("connection ended", extra={"reason": str(error)})
        except Exception:
            # An uncaught error would end the hub and with it the process.
            logger.exception("unhandled error on a connection")
        finally:
            close_quietly(sock)

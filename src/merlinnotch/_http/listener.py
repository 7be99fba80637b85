"""A listening socket and a green thread for each of its connections."""

import logging

import eventlet
from eventlet.greenio import GreenSocket

from .sockets import close_quietly, listen, tune_socket

logger = logging.getLogger("merlinnotch")

ACCEPT_PAUSE_S = 0.05


class Listener:
    """Accepts on *address* and calls *serve* with each connected socket.

    *sock* listens there already, where it is given. *prepare* is called once
    before the first connection is accepted.
    """

    def __init__(self, address, serve, sock=None, prepare=lambda: None):
        self._socket = listen(address) if sock is None else GreenSocket(sock)
        self._prepare = prepare
        host, port = self._socket.getsockname()
        self.address = f"{host}:{port}"
        self._serve = serve
        self._acceptor = eventlet.spawn(self._accept)

    def close(self):
        """Accept no more; connections that are open stay."""
        self._acceptor.kill()
        close_quietly(self._socket)

    def _accept(self):
        self._prepare()
        while True:
            try:
                sock, _ = self._socket.accept()
            except OSError as error:
                # Out of descriptors, mostly; those in use will come back.
                logger.warning("accept failed", extra={"reason": str(error)})
                eventlet.sleep(ACCEPT_PAUSE_S)
                continue
            eventlet.spawn_n(self._run, sock)

    def _run(self, sock):
        try:
            tune_socket(sock)
            self._serve(sock)
        except OSError as error:
            logger.info("connection ended", extra={"reason": str(error)})
        except Exception:
            # Uncaught, it would end the hub and with it the process.
            logger.exception("connection failed")
        finally:
            close_quietly(sock)

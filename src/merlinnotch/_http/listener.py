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

    *open_count* is the number of connections that are accepted and not closed.

    By then the kernel has accepted them and their callers have sent requests. Between
    :meth:`pause` and :meth:`resume` the kernel refuses new connections, which costs one
    packet each.
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
        self.open_count = 0
        self._is_closed = False
        self._is_pausing = False
        self._accept_thread = eventlet.spawn(self._accept_first)

    def close(self):
        """Stop accepting; open connections stay open."""
        self._is_closed = True
        self._accept_thread.kill()
        self._close_socket()

    @property
    def is_paused(self):
        """Whether new connections are refused until :meth:`resume`."""
        return self._socket is None and not self._is_closed

    def pause(self):
        """Refuse new connections; called by *try_accept*.

        Those that the kernel has accepted by now are still decided on.
        """
        self._is_pausing = True

    def resume(self):
        """Accept connections again after a pause."""
        if not self.is_paused:
            return
        try:
            self._socket = listen(self.address)
        except OSError as error:
            logger.warning("listen failed", extra={"reason": str(error)})
            return
        self._is_pausing = False
        self._accept_thread = eventlet.spawn(self._accept)

    def _accept_first(self):
        self._prepare()
        self._accept()

    def _accept(self):
        while not self._is_pausing:
            try:
                sock, _ = self._socket.accept()
            except OSError as error:
                # Usually out of file descriptors, which other connections will release.
                logger.warning("accept failed", extra={"reason": str(error)})
                eventlet.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            self._decide(sock)
        self._accept_queued()
        self._close_socket()

    def _accept_queued(self):
        """Decide on the connections that closing the socket would reset."""
        while True:
            try:
                sock, _ = self._socket.fd.accept()
            except OSError:
                return
            self._decide(GreenSocket(sock))

    def _decide(self, sock):
        if self._try_accept():
            self.open_count += 1
            eventlet.spawn_n(self._handle_connection, sock)
        else:
            reset_on_close(sock)
            close_quietly(sock)

    def _close_socket(self):
        if self._socket is not None:
            close_quietly(self._socket)
            self._socket = None

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
            self.open_count -= 1

"""Connections that check responses, and whose read timeout can be changed."""

import contextlib
import time

import urllib3
from eventlet.greenio import GreenSocket
from eventlet.hubs import trampoline

from .response import CheckedResponse


class ResetAwareSocket(GreenSocket):
    """A green socket whose reads raise :class:`ConnectionResetError`.

    :class:`GreenSocket` reports a reset as the end of the stream, which makes a
    truncated response without a length look complete. So does the kernel once a write
    has taken the error, which urllib3 ignores, to read a response that came early.
    """

    def __init__(self, sock):
        super().__init__(sock.fd)
        # The finalizer of *sock* closes the descriptor.
        self._replaced_sock = sock
        self._write_failed = False
        self._reads_end_at = None
        self.settimeout(sock.gettimeout())

    def sendall(self, data, flags=0):
        try:
            super().sendall(data, flags)
        except OSError:
            self._write_failed = True
            raise

    @contextlib.contextmanager
    def limiting_reads(self, timeout_s):
        """Let all reads together take no longer than *timeout_s*, if given."""
        if timeout_s is not None:
            self._reads_end_at = time.monotonic() + timeout_s
        try:
            yield
        finally:
            self._reads_end_at = None

    def recv_into(self, buffer, nbytes=0, flags=0):
        while True:
            try:
                size = self.fd.recv_into(buffer, nbytes, flags)
            except BlockingIOError:
                self._wait_until_readable()
                continue
            if size == 0 and self._write_failed:
                raise ConnectionResetError("connection ended after a failed write")
            return size

    def _wait_until_readable(self):
        trampoline(
            self.fd,
            read=True,
            timeout=self._get_wait_s(),
            timeout_exc=TimeoutError("timed out"),
        )

    def _get_wait_s(self):
        if self._reads_end_at is None:
            return self.gettimeout()
        wait_s = self._reads_end_at - time.monotonic()
        if wait_s <= 0.0:
            raise TimeoutError("timed out")
        return wait_s


class Connection(urllib3.connection.HTTPConnection):
    """Keeps the socket of its last response.

    ``http.client`` drops it once it has read the head of a response after which the
    connection closes, although the body is still to be read.
    """

    response_class = CheckedResponse
    response_sock = None

    def getresponse(self):
        self.response_sock = self.sock
        if not isinstance(self.sock, ResetAwareSocket):
            return super().getresponse()
        # A head that trickles would keep its caller beyond the timeout. The
        # socket's own timeout is still that of connecting.
        with self.sock.limiting_reads(self.timeout):
            return super().getresponse()

    def _new_conn(self):
        sock = super()._new_conn()
        return ResetAwareSocket(sock) if isinstance(sock, GreenSocket) else sock


class ConnectionPool(urllib3.HTTPConnectionPool):
    """A pool of :class:`Connection`."""

    ConnectionCls = Connection


def make_pool_manager(**options):
    """Return a pool manager whose connections are :class:`Connection`."""
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": ConnectionPool}
    return manager


def set_read_timeout(response, timeout_s):
    """Set the timeout of each further read of *response*."""
    if response.connection is not None:
        response.connection.response_sock.settimeout(timeout_s)

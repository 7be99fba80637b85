"""Connections whose read timeout can be changed while a response is read."""

import urllib3


class Connection(urllib3.connection.HTTPConnection):
    """Keeps the socket of its last response.

    ``http.client`` drops it once it has read the head of a response after which the
    connection closes, although the body is still to be read.
    """

    response_sock = None

    def getresponse(self):
        self.response_sock = self.sock
        return super().getresponse()


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

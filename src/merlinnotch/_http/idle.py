"""Idle connections of callers."""

from .sockets import is_open_without_input, shut_down


class IdleState:
    """Tells whether nothing of the next request on *sock* has arrived, read or not.

    The task that reads from the connection sets *awaits_input* while it waits for the
    first byte of a request. *is_shut_down* is true after :meth:`shut_down`.
    """

    def __init__(self, sock):
        self._sock = sock
        self.awaits_input = True
        self.is_shut_down = False

    @property
    def is_idle(self):
        """Whether the connection can be closed without dropping a request."""
        return self.awaits_input and (
            self.is_shut_down or is_open_without_input(self._sock)
        )

    @property
    def can_be_closed(self):
        """Whether the connection is idle and not shut down yet."""
        return self.is_idle and not self.is_shut_down

    def shut_down(self):
        """Shut the connection down.

        Reads still return what arrived before, or arrives later, but it can't be
        answered.
        """
        self.is_shut_down = True
        shut_down(self._sock)

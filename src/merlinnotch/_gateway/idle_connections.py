"""Waiting for the next request on a caller's connection."""

from .._errors import ConnectionTimedOut


def wait_for_request(connection, get_limits, read_clock):
    """Wait for the first byte of a request; return whether one begins.

    *get_limits* returns the :class:`CallerLimits` in force, whose idle timeout may
    become longer during the wait. Raises :class:`ConnectionTimedOut` after it, and
    :class:`ConnectionBroken` if the connection fails.
    """
    idle_since = read_clock()
    while True:
        until = idle_since + get_limits().idle_timeout_s
        try:
            return connection.wait_for_request(until - read_clock())
        except ConnectionTimedOut:
            if idle_since + get_limits().idle_timeout_s <= until:
                raise

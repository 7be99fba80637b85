"""Separate counts for the answers of upstreams that are at least half full.

A version that fails only under load fails only these. While it gets little traffic they
are a small part of its answers, so they are counted as a route of their own.
"""

BUSY_SUFFIX = " (busy)"


def get_count_route(route, running, slots):
    """Return the route name under which an answer on *route* is counted.

    *running* is the number of running requests that the upstream reported, or None if
    it reported none. *slots* is the upstream's capacity.
    """
    busy = running is not None and slots > 0 and 2 * running >= slots
    return route + BUSY_SUFFIX if busy else route


def is_busy(route):
    """Return whether *route* counts the answers of busy upstreams."""
    return route.endswith(BUSY_SUFFIX)

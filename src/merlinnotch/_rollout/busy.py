"""Answers of upstreams that are at least half full, counted by themselves.

A version that fails under load fails those and no others: among all of its answers
they are few while it gets little traffic. They count as a route of their own.
"""

BUSY_MARK = " (busy)"


def name_route(route, running, slots):
    """Return what to count an answer on *route* under.

    *running* is how many requests its upstream says it runs, None where it doesn't.
    """
    busy = running is not None and slots > 0 and 2 * running >= slots
    return route + BUSY_MARK if busy else route


def is_busy(route):
    """Return whether *route* counts the answers of busy upstreams."""
    return route.endswith(BUSY_MARK)

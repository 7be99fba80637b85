"""Bounding what an instance holds of requests and responses."""

import contextlib

from .._errors import MemoryExhausted
from .transfer_pace import MAX_PAUSE_S, SLOW_LINK_BYTES_PER_S

USABLE_SHARE = 0.1
"""Share of the process's memory for what is held. It takes several times as much while
it grows and is copied, and the process itself may take half of a small instance."""
STALLED_SHARE = 0.25
"""Share of the process's memory for connections whose callers don't read. It takes a
quarter less, as for anything that is large."""
TINY_BYTES = 8 << 10
"""What is not larger may use all of the budget."""
SMALL_BYTES = 64 << 10
SMALL_SHARE = 0.9
"""Share of the budget for what is larger than tiny and not larger than SMALL_BYTES."""
LARGE_SHARE = 0.75
"""Share of the budget for what is larger."""


class MemoryBudget:
    """Limits the sum of what is held of all requests and responses.

    It answers many large bodies at once, each of which is within its own limit, and
    callers that send or read them slowly. Beyond the limit that of the slowest caller
    is ended: a request that it sends, or a response that it reads. A caller counts as
    slow once the instance has waited for it for longer than the slowest link needs for
    all that may be held. If there is none, the largest response that is still arriving
    is ended; if there is none that is larger, what arrives is ended itself. Other
    responses that are complete are kept until they are delivered.

    *limit_bytes* is for all together, 0 means that there is no limit. *stalled* is the
    budget for connections whose callers don't read, without limit if it is None.
    """

    def __init__(self, limit_bytes, stalled=None):
        self._stalled = stalled
        self._limit_bytes = limit_bytes
        self._slow_s = MAX_PAUSE_S + limit_bytes / SLOW_LINK_BYTES_PER_S
        self._arriving = set()
        self._paced = set()
        self.held_bytes = 0

    def hold(self, end=None, pace=None):
        """Return a :class:`Holding` for something that arrives.

        It is ended by calling *end*, or not for the sake of others if *end* is None.
        With *pace*, the :class:`TransferPace` of a caller, only if the caller is slow.
        """
        holding = Holding(self, end, pace)
        if pace is not None:
            self._paced.add(holding)
        elif end is not None:
            self._arriving.add(holding)
        return holding

    @contextlib.contextmanager
    def hold_stalled(self, size, end, pace):
        """Count a connection as *size* bytes while its caller doesn't read.

        *end* and *pace* are as for :meth:`hold`. Raises :class:`MemoryExhausted`
        without room.
        """
        if self._stalled is None:
            yield
            return
        with self._stalled.hold(end, pace) as holding:
            holding.resize(size)
            yield

    def resize(self, holding, size):
        """Set the size of *holding*; raises :class:`MemoryExhausted` without room."""
        growth = size - holding.size
        if growth > 0 and self._limit_bytes:
            self._make_room(holding, size, growth)
        holding.size = size
        self.held_bytes += growth

    def release(self, holding):
        """Stop counting *holding*."""
        self._arriving.discard(holding)
        self._paced.discard(holding)
        self.held_bytes -= holding.size
        holding.size = 0

    def settle(self, holding, end=None, pace=None):
        """Keep *holding* even if there is no room for others.

        With *pace*, the :class:`TransferPace` of the caller that it is delivered to, it
        is ended by calling *end* once the caller is slow.
        """
        self._arriving.discard(holding)
        self._paced.discard(holding)
        if pace is not None:
            holding.end = end
            holding.pace = pace
            self._paced.add(holding)

    def _make_room(self, holding, size, growth):
        limit = self._limit_bytes * _get_share(size)
        while self.held_bytes + growth > limit:
            other = self._find_slowest(holding) or self._find_larger(size)
            if other is None:
                raise MemoryExhausted(f"{size} bytes are too many at the moment")
            other.is_ended = True
            self.release(other)
            other.end()

    def _find_slowest(self, holding):
        """Return what a slow caller has held most of for longest, or None."""
        slow = [
            other
            for other in self._paced
            if other is not holding and other.size and other.is_slow(self._slow_s)
        ]
        return max(slow, key=lambda h: h.size * h.pace.waited_s, default=None)

    def _find_larger(self, size):
        """Return the largest response that is arriving if it is larger, or None."""
        largest = max(self._arriving, key=lambda other: other.size, default=None)
        return largest if largest is not None and largest.size > size else None


def _get_share(size):
    """Return the share of the budget that all may hold for one of *size* to grow."""
    if size <= TINY_BYTES:
        return 1.0
    return SMALL_SHARE if size <= SMALL_BYTES else LARGE_SHARE


class Holding:
    """Bytes of one request or response that *budget* counts.

    A context manager that releases them. *is_ended* is set once it had to make room.
    """

    def __init__(self, budget, end, pace=None):
        self._budget = budget
        self.end = end
        self.pace = pace
        self.size = 0
        self.is_ended = False

    def is_slow(self, slow_s):
        """Return whether its caller was waited for longer than *slow_s* seconds."""
        return self.pace.waited_s > slow_s

    def resize(self, size):
        """Hold *size* bytes; raises :class:`MemoryExhausted` if that is too much."""
        if self.is_ended:
            raise MemoryExhausted("ended, as others needed the memory")
        self._budget.resize(self, size)

    def settle(self, end=None, pace=None):
        """Keep what is held until it is released, as it has arrived completely.

        *end* and *pace* are as for :meth:`MemoryBudget.settle`.
        """
        self._budget.settle(self, end, pace)

    def release(self):
        """Stop holding anything."""
        self._budget.release(self)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.release()

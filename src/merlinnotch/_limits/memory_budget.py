"""Bounding what an instance holds of requests and responses."""

from .._errors import MemoryExhausted

USABLE_SHARE = 0.1
"""Share of the process's memory for what is held. It takes several times as much while
it grows and is copied, and the process itself may take half of a small instance."""
SMALL_BYTES = 64 << 10
"""What is not larger may use all of the budget."""
LARGE_SHARE = 0.75
"""Share of the budget for what is larger, so that some room is left for the others."""


class MemoryBudget:
    """Limits the sum of what is held of all requests and responses.

    It answers many large bodies at once, each of which is within its own limit. Beyond
    the limit the largest response that is still arriving is ended. If there is none
    that is larger, what arrives is ended itself. Responses that are complete are kept
    until they are delivered.

    *limit_bytes* is for all together, 0 means that there is no limit.
    """

    def __init__(self, limit_bytes):
        self._limit_bytes = limit_bytes
        self._arriving = set()
        self.held_bytes = 0

    def hold(self, end=None):
        """Return a :class:`Holding` for something that arrives.

        It is ended by calling *end*, or not for the sake of others if *end* is None.
        """
        holding = Holding(self, end)
        if end is not None:
            self._arriving.add(holding)
        return holding

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
        self.held_bytes -= holding.size
        holding.size = 0

    def settle(self, holding):
        """Keep *holding* even if there is no room for others."""
        self._arriving.discard(holding)

    def _make_room(self, holding, size, growth):
        limit = self._limit_bytes
        if size > SMALL_BYTES:
            limit *= LARGE_SHARE
        while self.held_bytes + growth > limit:
            largest = max(self._arriving, key=lambda other: other.size, default=holding)
            if largest is holding or largest.size <= size:
                raise MemoryExhausted(f"{size} bytes are too many at the moment")
            largest.is_ended = True
            self.release(largest)
            largest.end()


class Holding:
    """Bytes of one request or response that *budget* counts.

    A context manager that releases them. *is_ended* is set once it had to make room.
    """

    def __init__(self, budget, end):
        self._budget = budget
        self.end = end
        self.size = 0
        self.is_ended = False

    def resize(self, size):
        """Hold *size* bytes; raises :class:`MemoryExhausted` if that is too much."""
        if self.is_ended:
            raise MemoryExhausted("ended, as others needed the memory")
        self._budget.resize(self, size)

    def settle(self):
        """Keep what is held until it is released, as it has arrived completely."""
        self._budget.settle(self)

    def release(self):
        """Stop holding anything."""
        self._budget.release(self)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.release()

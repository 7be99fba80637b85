"""The requests that wait at the instance."""

import bisect
from dataclasses import dataclass, field

from .request import AdmissionRequest

MAX_COUNT = 64
MAX_BYTES = 4_000_000
"""Limits of what waits, of all services; instances have 160 MB."""


@dataclass(frozen=True, order=True)
class WaitingRequest:
    """A request that waits until *until*; the order is that in which they are sent.

    *is_over* is whether it is above the fair share of its team.
    """

    rank: int
    is_over: bool
    arrived_at: float
    id: int
    request: AdmissionRequest = field(compare=False)
    until: float = field(compare=False)


class WaitingQueue:
    """The waiting requests in order, limited by count and bytes."""

    def __init__(self, max_count=MAX_COUNT, max_bytes=MAX_BYTES):
        self._max_count = max_count
        self._max_bytes = max_bytes
        self._entries = []
        self._evicted = []
        self._bytes = 0

    def __len__(self):
        return len(self._entries)

    def has_service(self, service):
        """Return whether a request for *service* waits or was evicted."""
        entries = (*self._entries, *self._evicted)
        return any(entry.request.service == service for entry in entries)

    def list_service(self, service):
        """Return the entries of *service*, in order."""
        return [e for e in self._entries if e.request.service == service]

    def count_ahead(self, entry):
        """Return how many requests of the same service are sent before *entry*."""
        service = entry.request.service
        before = self._entries[: bisect.bisect_left(self._entries, entry)]
        return sum(1 for e in before if e.request.service == service)

    def push(self, entry):
        """Add *entry* if the limits allow it; return whether it was added.

        It may replace the last entry of the queue, which is then evicted.
        """
        if self._fits(entry):
            self._insert(entry)
            return True
        if not self._entries or self._entries[-1] < entry:
            return False
        last = self._entries[-1]
        self.remove(last.id)
        if not self._fits(entry):
            self._insert(last)
            return False
        self._evicted.append(last)
        self._insert(entry)
        return True

    def pop_evicted(self, service):
        """Remove and return the evicted entries of *service*."""
        evicted = [e for e in self._evicted if e.request.service == service]
        self._evicted = [e for e in self._evicted if e.request.service != service]
        return evicted

    def remove(self, request_id):
        """Remove a request; return whether it was there."""
        for entries in (self._entries, self._evicted):
            for index, entry in enumerate(entries):
                if entry.id == request_id:
                    del entries[index]
                    if entries is self._entries:
                        self._bytes -= _get_size(entry)
                    return True
        return False

    def _fits(self, entry):
        has_place = len(self._entries) < self._max_count
        return has_place and self._bytes + _get_size(entry) <= self._max_bytes

    def _insert(self, entry):
        bisect.insort(self._entries, entry)
        self._bytes += _get_size(entry)


def _get_size(entry):
    return max(0, entry.request.size_bytes)

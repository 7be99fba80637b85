"""Entries of a restored store that are older than what an instance knows."""

import collections

DOUBT_S = 10.0
"""How long the entry of an upstream that had left is ignored. By then the platform has
deleted the entries of upstreams that are silent."""
MAX_REMOVED = 4096
"""Bounds memory; the upstream that was removed first is dropped first."""


class SupersededEntries:
    """Tells entries that were written before those that a restored store has lost.

    An upstream numbers its entries, so that one that it had already replaced or
    deleted is recognized. The entry of an upstream that had left is kept aside until it
    changes, or until DOUBT_S have passed: an upstream that is alive writes again.
    """

    def __init__(self):
        self._removed_sequences = collections.OrderedDict()
        self._doubted = {}

    def record_removed(self, upstream):
        """Record that the entry of an :class:`Upstream` was deleted."""
        self._removed_sequences[upstream.start] = upstream.sequence
        if len(self._removed_sequences) > MAX_REMOVED:
            self._removed_sequences.popitem(last=False)

    def is_superseded(self, item, entry, current, now):
        """Return whether *entry*, decoded from *item*, must not be applied at *now*.

        *current* is the known entry of its key, None if it was deleted.
        """
        if current is not None and current.start == entry.start:
            return entry.sequence <= current.sequence
        if entry.sequence > self._removed_sequences.get(entry.start, -1):
            return False
        self._doubted[item.key] = (item, now + DOUBT_S)
        return True

    def forget(self, key):
        """Drop the doubted entry of a key that has changed."""
        self._doubted.pop(key, None)

    def pop_due(self, now):
        """Return the items that are no longer doubted at *now*, and forget them."""
        due = [item for item, deadline in self._doubted.values() if now >= deadline]
        for item in due:
            del self._doubted[item.key]
        return due

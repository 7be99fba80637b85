"""A bounded set of recent keys."""

import collections


class RecentSet:
    """Set of the *max_size* latest keys, with the time at which each was added."""

    def __init__(self, max_size):
        self._max_size = max_size
        self._added_at = collections.OrderedDict()

    def add(self, key, now):
        """Add *key*, or make it the latest."""
        self._added_at[key] = now
        self._added_at.move_to_end(key)
        if len(self._added_at) > self._max_size:
            self._added_at.popitem(last=False)

    def remove(self, key):
        """Remove *key*; return whether it was present."""
        return self._added_at.pop(key, None) is not None

    def was_added_since(self, key, instant):
        """Return whether *key* was added at *instant* or later."""
        added_at = self._added_at.get(key)
        return added_at is not None and added_at >= instant

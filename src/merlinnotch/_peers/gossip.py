"""State replicated between instances by gossip; the newest value wins."""

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True)
class GossipEntry:
    """One value with the local sequence number of its last change.

    *source* is the instance that sent it, "" for a value set locally.
    """

    key: tuple
    value: object
    sequence: int
    source: str


class GossipState:
    """A map whose values are only replaced by values with a greater ``order``.

    Keys are tuples that start with a namespace. Every change gets a local
    sequence number, so that a peer is sent only what changed since the last
    exchange with it.
    """

    def __init__(self):
        self._entries = {}
        self._counts_by_namespace = Counter()
        self.sequence = 0

    def __len__(self):
        return len(self._entries)

    def merge(self, key, value, source=""):
        """Store *value* if it is newer than the current one; return whether it is."""
        current = self._entries.get(key)
        if current is not None and current.value.order >= value.order:
            return False
        self.sequence += 1
        # Reinserted at the end, so that iteration is in order of change.
        if self._entries.pop(key, None) is None:
            self._counts_by_namespace[key[0]] += 1
        self._entries[key] = GossipEntry(key, value, self.sequence, source)
        return True

    def drop(self, key):
        """Remove *key*, on this instance only."""
        if self._entries.pop(key, None) is not None:
            self._counts_by_namespace[key[0]] -= 1

    def count(self, namespace):
        """Return the number of keys in *namespace*."""
        return self._counts_by_namespace[namespace]

    def get(self, key):
        """Return the value of *key*, or None."""
        entry = self._entries.get(key)
        return entry.value if entry else None

    def select(self, namespace):
        """Return the (key, value) pairs in *namespace*."""
        return [
            (key, entry.value)
            for key, entry in self._entries.items()
            if key[0] == namespace
        ]

    def changes_since(self, sequence, peer):
        """Return the (key, value) pairs changed since *sequence*, oldest first.

        Values that *peer* itself sent are left out, unless *sequence* is 0: the
        peer then requests everything, as it does after a restart.
        """
        changes = []
        for entry in reversed(self._entries.values()):
            if entry.sequence <= sequence:
                break
            if entry.source != peer or sequence == 0:
                changes.append((entry.key, entry.value))
        changes.reverse()
        return tuple(changes)

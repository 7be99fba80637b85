"""State spread between instances, newest word wins."""

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True)
class GossipEntry:
    """One value with its place in the local order of changes.

    *source* is the instance that it was learned from, "" for our own word.
    """

    key: tuple
    value: object
    sequence: int
    source: str


class GossipState:
    """A map whose values only move forward in their ``order``.

    Every change gets a local sequence number, so that a peer can be sent
    just what changed since the last exchange with it.
    """

    def __init__(self):
        self._entries = {}
        self._counts = Counter()
        self.sequence = 0

    def __len__(self):
        return len(self._entries)

    def merge(self, key, value, source=""):
        """Take *value* if it is newer; return whether it was."""
        known = self._entries.get(key)
        if known is not None and known.value.order >= value.order:
            return False
        self.sequence += 1
        # Re-inserted last, so that iteration runs in order of change.
        if self._entries.pop(key, None) is None:
            self._counts[key[0]] += 1
        self._entries[key] = GossipEntry(key, value, self.sequence, source)
        return True

    def drop(self, key):
        """Forget *key*, on this instance only."""
        if self._entries.pop(key, None) is not None:
            self._counts[key[0]] -= 1

    def count(self, family):
        """Return how many keys start with *family*."""
        return self._counts[family]

    def get(self, key):
        """Return the value of *key*, or None."""
        entry = self._entries.get(key)
        return entry.value if entry else None

    def select(self, family):
        """Return the (key, value) pairs whose keys start with *family*."""
        return [
            (key, entry.value)
            for key, entry in self._entries.items()
            if key[0] == family
        ]

    def changes_since(self, sequence, peer):
        """Return the (key, value) pairs to send to *peer*, oldest change first.

        What the peer told us itself is left out, unless it asks for
        everything, as it does after a restart.
        """
        found = []
        for entry in reversed(self._entries.values()):
            if entry.sequence <= sequence:
                break
            if entry.source != peer or sequence == 0:
                found.append((entry.key, entry.value))
        found.reverse()
        return tuple(found)

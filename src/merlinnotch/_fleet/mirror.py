"""A copy of the store's items that only moves forward."""

from dataclasses import dataclass

from .._store import Item


@dataclass(frozen=True)
class Difference:
    """A key that changed; *item* is None where it was deleted."""

    key: str
    item: Item | None


@dataclass(frozen=True)
class MirrorPart:
    """What a peer passes on: items written after an index, and all keys.

    *index* is the store's index up to which the sender has everything.
    """

    index: int
    items: tuple[Item, ...]
    keys: tuple[str, ...]


class Mirror:
    """Takes replies of the store and parts from peers, in any order.

    What is older than *index* is ignored, so an instance never goes back to
    something older, whoever tells it.
    """

    def __init__(self):
        self.index = 0
        self.items = {}

    def replace(self, listing):
        """Take a full read; return the :class:`Difference` list."""
        if listing.index < self.index:
            return []
        kept = {item.key for item in listing.items}
        return self._take(listing.items, self.items.keys() - kept, listing.index)

    def apply(self, changes):
        """Take the reply of a watch; return the :class:`Difference` list."""
        if changes.index < self.index:
            return []
        return self._take(changes.written, changes.deleted, changes.index)

    def merge(self, part):
        """Take what a peer passed on; return the :class:`Difference` list."""
        if part.index <= self.index:
            return []
        gone = self.items.keys() - set(part.keys)
        return self._take(part.items, gone, part.index)

    def export(self, after):
        """Return the :class:`MirrorPart` for a peer that is at *after*."""
        items = tuple(i for i in self.items.values() if i.modify_index > after)
        return MirrorPart(self.index, items, tuple(self.items))

    def _take(self, written, deleted, index):
        differences = []
        for key in sorted(deleted):
            if self.items.pop(key, None) is not None:
                differences.append(Difference(key, None))
        for item in written:
            known = self.items.get(item.key)
            if known is None or known.modify_index < item.modify_index:
                self.items[item.key] = item
                differences.append(Difference(item.key, item))
        self.index = index
        return differences

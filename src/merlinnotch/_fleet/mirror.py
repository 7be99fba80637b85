"""A local copy of the store that never reverts to an older state."""

from dataclasses import dataclass

from .._store import Item, get_era


@dataclass(frozen=True)
class KeyChange:
    """A changed key; *item* is None if the key was deleted."""

    key: str
    item: Item | None


@dataclass(frozen=True)
class MirrorUpdate:
    """An incremental update from a peer: recently written items, and all keys.

    *index* is the store index up to which the sender has all changes.
    """

    index: int
    items: tuple[Item, ...]
    keys: tuple[str, ...]


class Mirror:
    """A local copy of the store's items.

    It is updated by replies of the store and by peers, in any order. Updates
    older than *index* are ignored, whatever their source. A later era is newer,
    although the store has then lost writes.
    """

    def __init__(self):
        self.index = 0
        self.items = {}

    @property
    def era(self):
        """The era of the store that the copy is of."""
        return get_era(self.index)

    def replace(self, listing):
        """Apply a full read of the store; return a list of :class:`KeyChange`."""
        if listing.index < self.index:
            return []
        listed_keys = {item.key for item in listing.items}
        return self._update(
            listing.items, self.items.keys() - listed_keys, listing.index
        )

    def apply(self, changes):
        """Apply the reply of a watch; return a list of :class:`KeyChange`."""
        if changes.index < self.index:
            return []
        return self._update(changes.written, changes.deleted, changes.index)

    def merge(self, update):
        """Apply a peer's :class:`MirrorUpdate`; return a list of :class:`KeyChange`."""
        if update.index <= self.index:
            return []
        deleted_keys = self.items.keys() - set(update.keys)
        return self._update(update.items, deleted_keys, update.index)

    def export(self, after_index):
        """Return the :class:`MirrorUpdate` for a peer that is at *after_index*."""
        items = tuple(i for i in self.items.values() if i.modify_index > after_index)
        return MirrorUpdate(self.index, items, tuple(self.items))

    def _update(self, written, deleted, index):
        key_changes = []
        for key in sorted(deleted):
            if self.items.pop(key, None) is not None:
                key_changes.append(KeyChange(key, None))
        for item in written:
            current = self.items.get(item.key)
            if current is None or current.modify_index < item.modify_index:
                self.items[item.key] = item
                key_changes.append(KeyChange(item.key, item))
        self.index = index
        return key_changes

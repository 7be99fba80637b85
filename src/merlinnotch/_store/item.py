"""Results of reads from a key-value store."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Item:
    """One key and its value.

    *modify_index* is the store's index of the last write, *lease* the id of the
    lease that holds the key.
    """

    key: str
    value: bytes
    modify_index: int
    lease: str | None = None


@dataclass(frozen=True)
class Listing:
    """The items of a read, and the index from which to watch for changes."""

    items: tuple[Item, ...]
    index: int

    def get(self, key):
        """Return the item of *key*, or None."""
        return next((item for item in self.items if item.key == key), None)


@dataclass(frozen=True)
class Changes:
    """Written items and deleted keys, and the index from which to continue.

    A key is in one of the two at most, according to its last change.
    """

    written: tuple[Item, ...]
    deleted: tuple[str, ...]
    index: int

"""Values read from the key-value service."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Item:
    """One key with its value and the index of its last modification."""

    key: str
    value: bytes
    modify_index: int
    session: str | None = None


@dataclass(frozen=True)
class Listing:
    """What a read saw: the items, and the index to watch from."""

    items: tuple[Item, ...]
    index: int

    def get(self, key):
        """Return the item of *key*, or None."""
        return next((item for item in self.items if item.key == key), None)


@dataclass(frozen=True)
class Changes:
    """Items written and keys deleted, and the index to go on from.

    Within one reply a key stands in one of the two only.
    """

    written: tuple[Item, ...]
    deleted: tuple[str, ...]
    index: int

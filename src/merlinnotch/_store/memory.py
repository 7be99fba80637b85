"""An in-memory store for tests and experiments."""

import itertools

from .._errors import StoreConflict
from .base import KeyValueStore
from .item import Changes, Item, Listing


class MemoryStore(KeyValueStore):
    """A store in which every call, including a watch, returns immediately."""

    def __init__(self):
        self.items = {}
        self.deletions = {}
        self.leases = set()
        self.index = 0
        self._lease_ids = itertools.count(1)

    def read(self, prefix, recurse=False):
        found = [
            item
            for key, item in sorted(self.items.items())
            if key == prefix or (recurse and key.startswith(prefix))
        ]
        return Listing(tuple(found), self.index)

    def watch(self, prefix, index, wait_s, recurse=False):
        return self.read(prefix, recurse)

    def read_changes(self, prefix, index, wait_s):
        written = [
            item
            for key, item in self.items.items()
            if key.startswith(prefix) and item.modify_index > index
        ]
        deleted = [
            key
            for key, deletion_index in self.deletions.items()
            if key.startswith(prefix)
            and deletion_index > index
            and key not in self.items
        ]
        return Changes(tuple(written), tuple(deleted), self.index)

    def swap(self, key, value, modify_index):
        item = self.items.get(key)
        if (item.modify_index if item else 0) != modify_index:
            raise StoreConflict(key)
        return self._write(key, value, item.lease if item else None)

    def put(self, key, value):
        return self._write(key, value, None)

    def delete(self, key, modify_index):
        item = self.items.get(key)
        if item is None or item.modify_index != modify_index:
            raise StoreConflict(key)
        self.index += 1
        del self.items[key]
        self.deletions[key] = self.index

    def open_lease(self, ttl_s, name):
        lease = f"lease-{next(self._lease_ids)}"
        self.leases.add(lease)
        return lease

    def renew_lease(self, lease):
        if lease not in self.leases:
            raise StoreConflict(lease)

    def close_lease(self, lease):
        self.leases.discard(lease)
        for item in list(self.items.values()):
            if item.lease == lease:
                self._write(item.key, item.value, None)

    def acquire(self, key, value, lease):
        item = self.items.get(key)
        if lease not in self.leases:
            return False
        if item and item.lease not in (None, lease):
            return False
        self._write(key, value, lease)
        return True

    def _write(self, key, value, lease):
        self.index += 1
        self.items[key] = Item(key, value, self.index, lease)
        return self.index

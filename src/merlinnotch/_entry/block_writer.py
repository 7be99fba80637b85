"""Blocks in the store, for instances that start later or miss a message."""

import logging

import eventlet

from .._errors import StoreConflict, StoreError
from .._fleet.records import blocked_key

logger = logging.getLogger("merlinnotch")

WRITE_RETRY_DELAY_S = 1.0
"""Pause before another attempt to write a block."""


class BlockWriter:
    """Writes the blocks of a :class:`BlockList` to *store*, and deletes them."""

    def __init__(self, store, blocked, read_clock):
        self._store = store
        self._blocked = blocked
        self._read_clock = read_clock

    def write(self, fingerprint, delay_s=0.0):
        """Write a block after *delay_s*, unless it is in the store already.

        Blocks held only by instances would be lost in a restart of the whole fleet.
        """
        eventlet.sleep(delay_s)
        while self._blocked.get_remaining_s(fingerprint, self._read_clock()):
            if self._blocked.is_stored(fingerprint):
                return
            try:
                self._store.put(blocked_key(fingerprint), b"")
            except StoreError as error:
                logger.info("failed to store the block", extra={"reason": str(error)})
                eventlet.sleep(WRITE_RETRY_DELAY_S)
            else:
                return

    def delete(self, fingerprint):
        """Delete a block from the store, which ends it on all instances."""
        key = blocked_key(fingerprint)
        try:
            item = self._store.read(key).get(key)
            if item is not None:
                self._store.delete(key, item.modify_index)
        except (StoreError, StoreConflict) as error:
            logger.info("failed to delete the block", extra={"reason": str(error)})

"""Keeping the newest revision in force."""

import logging
import time

from .._config import Revision, RevisionTracker
from .._config.tracker import Offer
from .._daemon.task import Task
from .._errors import StoreConflict, StoreError
from .._peers import Quarantine
from .._store.keys import LIVE_PREFIX, QUARANTINE_PREFIX, REVISION_KEY

logger = logging.getLogger("merlinnotch")

WATCH_S = 4.0
FAILURE_PAUSE_S = 0.5


class Configurer(Task):
    """Watches the store and takes offers from peers.

    A watch is answered within :data:`WATCH_S` seconds, changed or not, and is
    closed and made anew when it isn't; so a watch that has gone silent costs
    seconds. *on_quarantine* gets each (version id, Quarantine) in the store.
    """

    interval_s = 0.0

    def __init__(self, store, metrics, on_quarantine):
        super().__init__()
        self.tracker = RevisionTracker()
        self._store = store
        self._metrics = metrics
        self._on_quarantine = on_quarantine
        self._index = 0
        self._listeners = []

    def listen(self, listener):
        """Call *listener* with the catalogue whenever a revision is taken."""
        self._listeners.append(listener)

    def run_once(self):
        asked_at = time.monotonic()
        try:
            listing = self._watch()
        except StoreError:
            self._metrics.store_failures.inc()
            self.interval_s = FAILURE_PAUSE_S
            raise
        self.interval_s = 0.0
        # A restored store may count its indexes anew, from lower numbers.
        self._index = listing.index if listing.index >= self._index else 0
        self._take_listing(listing, asked_at)

    def offer(self, revision, proved_at):
        """Take a revision from wherever it came; return what became of it."""
        result = self.tracker.offer(revision, proved_at)
        self._metrics.revisions.labels(result.value).inc()
        if result is Offer.TAKEN:
            self._metrics.revision.set(revision.number)
            self._metrics.revision_taken_at.set(time.time())
            logger.info("revision in force", extra={"revision": revision.number})
            for listener in self._listeners:
                listener(self.tracker.catalogue)
        return result

    def _watch(self):
        if self._index == 0:
            return self._store.read(LIVE_PREFIX, recurse=True)
        return self._store.watch(LIVE_PREFIX, self._index, WATCH_S, recurse=True)

    def _take_listing(self, listing, asked_at):
        for item in listing.items:
            if item.key.startswith(QUARANTINE_PREFIX):
                version = item.key.removeprefix(QUARANTINE_PREFIX)
                self._on_quarantine(version, Quarantine.decode(item.value))
        item = listing.get(REVISION_KEY)
        if item is None:
            self._repair(0)
            return
        try:
            revision = Revision.decode(item.value)
        except ValueError:
            self._metrics.revisions.labels(Offer.UNREADABLE.value).inc()
            return
        if self.offer(revision, asked_at) is Offer.OLDER:
            self._repair(item.modify_index)

    def _repair(self, index):
        """Give the newest revision back to a store that has lost it."""
        held = self.tracker.revision
        if held is None:
            return
        try:
            self._store.swap(REVISION_KEY, held.encode(), index)
            logger.info("store repaired", extra={"revision": held.number})
        except StoreConflict:
            return

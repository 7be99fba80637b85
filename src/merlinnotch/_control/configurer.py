"""The task that keeps the newest revision in force."""

import logging
import time

from .._config import Revision, RevisionTracker
from .._config.revision_tracker import OfferResult
from .._daemon.task import Task
from .._errors import StoreConflict, StoreError
from .._peers import Quarantine
from .._store.keys import LIVE_PREFIX, QUARANTINE_PREFIX, REVISION_KEY

logger = logging.getLogger("merlinnotch")

WATCH_TIMEOUT_S = 4.0
RETRY_DELAY_S = 0.5


class Configurer(Task):
    """Applies revisions and quarantines from the store, and revisions from peers.

    The store replies to a watch within :data:`WATCH_TIMEOUT_S` seconds even if
    nothing changed. A watch without a reply fails and is repeated, so that a broken
    connection delays a change by seconds only. *on_quarantine* is called with the
    version id and the :class:`Quarantine` of each quarantine in the store.
    """

    interval_s = 0.0

    def __init__(self, store, metrics, on_quarantine):
        super().__init__()
        self.tracker = RevisionTracker()
        self._store = store
        self._metrics = metrics
        self._on_quarantine = on_quarantine
        self._watch_index = 0
        self._listeners = []

    def add_listener(self, listener):
        """Call *listener* with the catalogue of each revision that takes effect."""
        self._listeners.append(listener)

    def run_once(self):
        requested_at = time.monotonic()
        try:
            listing = self._fetch_listing()
        except StoreError:
            self._metrics.store_failures.inc()
            self.interval_s = RETRY_DELAY_S
            raise
        self.interval_s = 0.0
        # Indexes may start again from lower numbers after the store is restored.
        self._watch_index = listing.index if listing.index >= self._watch_index else 0
        self._process_listing(listing, requested_at)

    def submit(self, revision, confirmed_at):
        """Apply *revision* if it is newer than the one in force.

        *confirmed_at* is the monotonic time in seconds at which the store held it as
        the newest. Return an :class:`OfferResult`.
        """
        result = self.tracker.submit(revision, confirmed_at)
        self._metrics.revisions.labels(result.value).inc()
        if result is OfferResult.ACCEPTED:
            self._metrics.revision.set(revision.number)
            self._metrics.revision_taken_at.set(time.time())
            logger.info("new revision in force", extra={"revision": revision.number})
            for listener in self._listeners:
                listener(self.tracker.catalogue)
        return result

    def _fetch_listing(self):
        if self._watch_index == 0:
            return self._store.read(LIVE_PREFIX, recurse=True)
        return self._store.watch(
            LIVE_PREFIX, self._watch_index, WATCH_TIMEOUT_S, recurse=True
        )

    def _process_listing(self, listing, requested_at):
        for item in listing.items:
            if item.key.startswith(QUARANTINE_PREFIX):
                self._process_quarantine(item)
        item = listing.get(REVISION_KEY)
        if item is None:
            self._restore_revision(0)
            return
        try:
            revision = Revision.decode(item.value)
        except ValueError:
            self._metrics.revisions.labels(OfferResult.INVALID.value).inc()
            return
        if self.submit(revision, requested_at) is OfferResult.OLDER:
            self._restore_revision(item.modify_index)

    def _process_quarantine(self, item):
        version_id = item.key.removeprefix(QUARANTINE_PREFIX)
        try:
            quarantine = Quarantine.decode(item.value)
        except ValueError as error:
            # The revision and other quarantines are in the same listing.
            fields = {"key": item.key, "reason": str(error)}
            logger.warning("invalid quarantine in the store", extra=fields)
            return
        self._on_quarantine(version_id, quarantine)

    def _restore_revision(self, index):
        """Write the revision in force to a store that has none or an older one.

        *index* is the modify index of the store's revision, 0 for none.
        """
        newest = self.tracker.revision
        if newest is None:
            return
        try:
            self._store.swap(REVISION_KEY, newest.encode(), index)
            logger.info(
                "restored the newest revision in the store",
                extra={"revision": newest.number},
            )
        except StoreConflict:
            return

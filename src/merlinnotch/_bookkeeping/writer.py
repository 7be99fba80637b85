"""The writer of one bucket's log."""

import functools
import time

import eventlet
from eventlet.event import Event

from .._errors import StoreConflict, StoreUnavailable
from .._ledger import BucketLog, PendingRecord, RecordResult
from .._ledger.log import InconsistentListing

MIN_COMMIT_INTERVAL_S = 0.1
"""Minimum time between the writes of two batches, which limits the write rate."""

BILL_BATCH_DELAY_S = 0.5
"""Maximum delay of bills and releases, to write them in a batch with later records."""

RETRY_DELAY_S = 0.2
MAX_IDLE_WAIT_S = 30.0


class BucketWriter:
    """Does the I/O of one :class:`BucketLog` in a green thread.

    *writer* is the name in the batches that it writes.
    """

    def __init__(self, store, metrics, bucket, writer):
        self._store = store
        self._metrics = metrics
        self._log = BucketLog(bucket, writer)
        self._work_available = Event()
        self._last_commit_at = float("-inf")
        eventlet.spawn(self._run)

    def submit(self, records, timeout_s):
        """Return a list with the result of each record, None if not known in time.

        A record without a result may still be logged if its batch was being written.
        """
        results: list[RecordResult | None] = [None] * len(records)
        all_settled = Event()
        unsettled = [len(records)]

        def settle(position, result):
            results[position] = result
            self._metrics.records.labels(result.status.name.lower()).inc()
            unsettled[0] -= 1
            if unsettled[0] == 0 and not all_settled.ready():
                all_settled.send(True)

        pending_records = [
            PendingRecord(record, functools.partial(settle, position))
            for position, record in enumerate(records)
        ]
        for pending in pending_records:
            self._log.submit(pending)
        self._signal_work()
        with eventlet.Timeout(timeout_s, False):
            all_settled.wait()
        if unsettled[0]:
            self._log.cancel(pending_records)
        return results

    def _signal_work(self):
        if not self._work_available.ready():
            self._work_available.send(True)

    def _run(self):
        while True:
            if self._log.unsettled_count == 0:
                self._wait_for_work()
            self._wait_for_batch()
            try:
                self._write_next()
            except StoreUnavailable:
                self._metrics.store_failures.inc()
                eventlet.sleep(RETRY_DELAY_S)

    def _wait_for_work(self):
        with eventlet.Timeout(MAX_IDLE_WAIT_S, False):
            self._work_available.wait()
        self._work_available = Event()

    def _wait_for_batch(self):
        """Wait for more records while none is urgent, then for the commit interval."""
        if not self._log.has_urgent_records:
            deadline = time.monotonic() + BILL_BATCH_DELAY_S
            while time.monotonic() < deadline and not self._log.has_urgent_records:
                with eventlet.Timeout(max(0.0, deadline - time.monotonic()), False):
                    self._work_available.wait()
                self._work_available = Event()
        delay_s = self._last_commit_at + MIN_COMMIT_INTERVAL_S - time.monotonic()
        if delay_s > 0:
            eventlet.sleep(delay_s)

    def _write_next(self):
        if not self._log.loaded:
            self._load()
        self._settle_queries()
        if self._log.needs_checkpoint:
            self._write_checkpoint()
        write = self._log.build_write()
        if write is None:
            return
        self._last_commit_at = time.monotonic()
        try:
            self._store.swap(write.key, write.value, write.modify_index)
        except StoreConflict:
            # Another writer has written, or the reply to an earlier write was lost.
            self._metrics.commits.labels("conflict").inc()
            self._load()
        else:
            self._metrics.commits.labels("committed").inc()
            self._log.commit()

    def _settle_queries(self):
        queries = self._log.pop_queries()
        if not queries:
            return
        try:
            listing = self._store.read(self._log.next_slot_key)
            if not self._log.is_current(listing):
                self._load()
        except StoreUnavailable:
            for pending in queries:
                self._log.submit(pending)
            raise
        self._log.settle_queries(queries)

    def _load(self):
        listing = self._store.read(self._log.prefix, recurse=True)
        try:
            self._log.load(listing)
        except InconsistentListing:
            self._metrics.commits.labels("torn").inc()
            raise

    def _write_checkpoint(self):
        self._load()
        if not self._log.needs_checkpoint:
            return
        write = self._log.build_checkpoint(time.time())
        try:
            self._store.swap(write.key, write.value, write.modify_index)
        except StoreConflict:
            self._load()
        else:
            self._metrics.commits.labels("checkpoint").inc()
            self._log.commit_checkpoint()

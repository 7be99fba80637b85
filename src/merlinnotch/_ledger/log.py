"""The append-only log of a bucket, which is a shard of the request ledger.

It is kept in a ring of keys that are written by compare-and-swap.
"""

import copy
import uuid
from dataclasses import dataclass, field

from .._errors import StoreUnavailable
from .._store import ABSENT
from .._store.keys import LEDGER_PREFIX
from .batch import Batch
from .bill import Bill
from .claim import Claim
from .encoding import (
    decode_batch,
    decode_checkpoint,
    encode_batch,
    encode_checkpoint,
)
from .query import Query
from .record_result import RecordResult
from .release import Release
from .state import BucketState

SLOT_COUNT = 64
"""Number of keys in the ring, each for one batch."""
CHECKPOINT_INTERVAL = 32
"""Number of batches after which a checkpoint is due. It must be less than
``SLOT_COUNT``, as a slot is reused only after a checkpoint covers its batch."""
MAX_BATCH_RECORDS = 256


@dataclass
class PendingRecord:
    """A record to be written to the log; *settle* is called with its result."""

    record: Claim | Release | Bill | Query
    settle: callable


@dataclass(frozen=True)
class SlotWrite:
    """A compare-and-swap that writes a batch to a slot, or a checkpoint.

    *modify_index* is the index that the key must have in the store.
    """

    key: str
    value: bytes
    modify_index: int


@dataclass(frozen=True)
class _EvaluatedRecord:
    pending: PendingRecord
    result: RecordResult


@dataclass(frozen=True)
class _InFlightBatch:
    batch: Batch
    evaluated_records: tuple[_EvaluatedRecord, ...]

    def settle(self):
        for evaluated in self.evaluated_records:
            evaluated.pending.settle(evaluated.result)


@dataclass(frozen=True)
class _SlotContent:
    position: int
    modify_index: int


class InconsistentListing(StoreUnavailable):
    """A listing has a gap because the log changed while it was read.

    It can't be replayed; the listing must be read again.
    """


@dataclass
class BucketLog:
    """The protocol of a bucket's log, without I/O.

    Builds the next write, and updates the state when the caller reports its result.
    Other instances may write to the same bucket.

    The batch of position *p* is in slot ``p % SLOT_COUNT``. It is written by
    compare-and-swap on the batch of position ``p - SLOT_COUNT``, which was there
    before, so no position is written twice, even if a write arrives late or its writer
    was paused. A slot is reused only after a checkpoint covers its batch.

    *writer* names this writer in its batches. *position* is that of the next batch,
    *checkpoint_position* the last one that the checkpoint covers.
    """

    bucket: int
    writer: str
    state: BucketState = field(default_factory=BucketState)
    position: int = 1
    checkpoint_position: int = 0
    loaded: bool = False
    _slots: dict[int, _SlotContent] = field(default_factory=dict)
    _checkpoint_index: int = 0
    _queued: list[PendingRecord] = field(default_factory=list)
    _queued_queries: list[PendingRecord] = field(default_factory=list)
    _in_flight: _InFlightBatch | None = None

    @property
    def prefix(self):
        """The key prefix of the bucket."""
        return f"{LEDGER_PREFIX}{self.bucket:03d}/"

    @property
    def checkpoint_key(self):
        """The key of the bucket's checkpoint."""
        return f"{self.prefix}checkpoint"

    @property
    def unsettled_count(self):
        """The number of records and queries without a result."""
        in_flight = len(self._in_flight.evaluated_records) if self._in_flight else 0
        return len(self._queued) + len(self._queued_queries) + in_flight

    @property
    def has_urgent_records(self):
        """Whether a claim or query is queued or a batch is in flight.

        Otherwise the next commit may be delayed to batch more records.
        """
        if self._in_flight or self._queued_queries:
            return True
        return any(isinstance(pending.record, Claim) for pending in self._queued)

    def submit(self, pending):
        """Queue a :class:`PendingRecord`, for the next batch unless it is a query."""
        if isinstance(pending.record, Query):
            self._queued_queries.append(pending)
        else:
            self._queued.append(pending)

    def cancel(self, pending_records):
        """Remove those of *pending_records* that are in no batch yet from the queue.

        They are not settled, and not logged unless they are submitted again.
        """
        cancelled_ids = {id(pending) for pending in pending_records}
        self._queued = [
            queued for queued in self._queued if id(queued) not in cancelled_ids
        ]
        self._queued_queries = [
            queued for queued in self._queued_queries if id(queued) not in cancelled_ids
        ]

    def pop_queries(self):
        """Remove and return the queued queries.

        The caller settles them after a read of the log's end: only a read that began
        after a query was submitted includes all that other writers committed before.
        """
        queries, self._queued_queries = self._queued_queries, []
        return queries

    def settle_queries(self, queries):
        """Settle *queries* with results from the current state."""
        for pending in queries:
            pending.settle(self.state.evaluate(pending.record))

    def is_current(self, listing):
        """Return whether a listing of :attr:`next_slot_key` has no newer batch."""
        return all(
            decode_batch(item.value).position < self.position for item in listing.items
        )

    @property
    def next_slot_key(self):
        """The key to which the next batch is written."""
        return f"{self.prefix}slot-{self.position % SLOT_COUNT:03d}"

    def load(self, listing):
        """Rebuild the state from a listing of the bucket's prefix.

        The records of the batch in flight are settled if the log has the batch, and
        queued again if another writer's batch has its position. Raise
        :class:`InconsistentListing` if the listing has a gap.
        """
        self.loaded = False
        self._slots = {}
        self.checkpoint_position, self.state, self._checkpoint_index = (
            0,
            BucketState(),
            0,
        )
        batches = {}
        for item in listing.items:
            if item.key == self.checkpoint_key:
                self.checkpoint_position, self.state = decode_checkpoint(item.value)
                self._checkpoint_index = item.modify_index
            else:
                batch = decode_batch(item.value)
                batches[batch.position] = batch
                slot = batch.position % SLOT_COUNT
                self._slots[slot] = _SlotContent(batch.position, item.modify_index)
        self._replay(batches)
        self.loaded = True

    def build_write(self):
        """Return the next :class:`SlotWrite`, or None if there is nothing to write.

        Return the same write until :meth:`commit` or :meth:`load` determines whether
        it took effect, which a missing reply leaves open.
        """
        if not self.loaded or self.needs_checkpoint:
            return None
        if self._in_flight is None:
            self._start_batch()
        if self._in_flight is None:
            return None
        slot = self._in_flight.batch.position % SLOT_COUNT
        content = self._slots.get(slot)
        return SlotWrite(
            f"{self.prefix}slot-{slot:03d}",
            encode_batch(self._in_flight.batch),
            content.modify_index if content else ABSENT,
        )

    def commit(self):
        """Apply and settle the batch whose write by :meth:`build_write` took effect."""
        in_flight = self._in_flight
        self._in_flight = None
        for record in in_flight.batch.records:
            self.state.apply(record)
        self.position += 1
        # load() before the next checkpoint rereads this index.
        self._slots.pop(in_flight.batch.position % SLOT_COUNT, None)
        in_flight.settle()

    @property
    def needs_checkpoint(self):
        """Whether a checkpoint must be written before the next batch."""
        return self.position - self.checkpoint_position > CHECKPOINT_INTERVAL

    def build_checkpoint(self, now):
        """Expire old requests; return the :class:`SlotWrite` of a checkpoint.

        Must be called directly after :meth:`load`, which reads the modify indexes that
        the slots must still have when they are reused. *now* is in seconds since the
        epoch; requests whose retention time has passed are removed from the state.
        """
        self.state.expire(now)
        value = encode_checkpoint(self.position - 1, self.state)
        return SlotWrite(self.checkpoint_key, value, self._checkpoint_index)

    def commit_checkpoint(self):
        """Record that the write of :meth:`build_checkpoint` took effect."""
        self.checkpoint_position = self.position - 1

    def _replay(self, batches):
        self.position = self.checkpoint_position + 1
        while self.position in batches:
            batch = batches[self.position]
            self.position += 1
            self._replay_batch(batch)
        if any(position > self.position for position in batches):
            raise InconsistentListing(self.prefix)
        self._requeue_superseded()

    def _replay_batch(self, batch):
        for record in batch.records:
            self.state.apply(record)
        in_flight = self._in_flight
        if in_flight and in_flight.batch.batch_id == batch.batch_id:
            self._in_flight = None
            in_flight.settle()

    def _requeue_superseded(self):
        in_flight = self._in_flight
        if in_flight and in_flight.batch.position != self.position:
            self._in_flight = None
            self._queued = [
                evaluated.pending for evaluated in in_flight.evaluated_records
            ] + self._queued

    def _start_batch(self):
        """Evaluate queued records and put those that change the state in a batch.

        A record that changes nothing is settled at once, unless the batch already has
        records that its result may depend on; then it is settled at their commit.
        """
        trial = _TrialState(self.state)
        evaluated, records = [], []
        while self._queued and len(records) < MAX_BATCH_RECORDS:
            pending = self._queued.pop(0)
            result, changes_state = trial.apply(pending.record)
            if not changes_state and not records:
                pending.settle(result)
                continue
            evaluated.append(_EvaluatedRecord(pending, result))
            if changes_state:
                records.append(pending.record)
        if records:
            batch = Batch(self.position, self.writer, uuid.uuid4().hex, tuple(records))
            self._in_flight = _InFlightBatch(batch, tuple(evaluated))


class _TrialState:
    """Evaluates records in sequence on a copy of the entries that they need."""

    def __init__(self, state):
        self._base_state = state
        self._state = BucketState()

    def apply(self, record):
        """Return the result, and whether *record* changes the state."""
        key = record.key
        if key not in self._state.entries and key in self._base_state.entries:
            self._state.entries[key] = copy.copy(self._base_state.entries[key])
        previous = self._state.entries.get(key)
        result = self._state.apply(record)
        return result, self._state.entries.get(key) != previous

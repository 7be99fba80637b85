"""A bucket's log: a ring of slots changed only by compare-and-swap."""

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
from .release import Release
from .state import BucketState
from .verdict import Verdict

SLOTS = 64
CHECKPOINT_EVERY = 32
MAX_BATCH_RECORDS = 256


@dataclass
class PendingRecord:
    """A record on its way into the log; *settle* is called with its verdict."""

    record: Claim | Release | Bill | Query
    settle: callable


@dataclass(frozen=True)
class SlotWrite:
    """A compare-and-swap that appends a batch."""

    key: str
    value: bytes
    modify_index: int


@dataclass(frozen=True)
class _Judged:
    pending: PendingRecord
    verdict: Verdict


@dataclass(frozen=True)
class _InFlight:
    batch: Batch
    judged: tuple[_Judged, ...]

    def settle(self):
        for judged in self.judged:
            judged.pending.settle(judged.verdict)


@dataclass(frozen=True)
class _Occupant:
    position: int
    modify_index: int


class TornListing(StoreUnavailable):
    """A listing mixes two moments and can't be replayed; read it again."""


@dataclass
class BucketLog:
    """Decides what to write next and what a reply means. Does no I/O.

    Position *p* lives in slot ``p % SLOTS`` and is written by compare-and-swap
    on what was there before, position ``p - SLOTS``. A position is thus never
    written twice, however late a write lands and however long its writer was
    paused: the swap is the commit and the fence in one. A slot is reused only
    once a checkpoint covers it.
    """

    bucket: int
    writer: str
    state: BucketState = field(default_factory=BucketState)
    position: int = 1
    base: int = 0
    loaded: bool = False
    _slots: dict[int, _Occupant] = field(default_factory=dict)
    _checkpoint_index: int = 0
    _waiting: list[PendingRecord] = field(default_factory=list)
    _queries: list[PendingRecord] = field(default_factory=list)
    _in_flight: _InFlight | None = None

    @property
    def prefix(self):
        """The key prefix of the bucket."""
        return f"{LEDGER_PREFIX}{self.bucket:03d}/"

    @property
    def checkpoint_key(self):
        """The key of the bucket's checkpoint."""
        return f"{self.prefix}checkpoint"

    @property
    def waiting(self):
        """The number of records not yet settled."""
        in_flight = len(self._in_flight.judged) if self._in_flight else 0
        return len(self._waiting) + len(self._queries) + in_flight

    @property
    def has_waiting_claim(self):
        """Whether a caller waits for the next commit."""
        if self._in_flight or self._queries:
            return True
        return any(isinstance(p.record, Claim) for p in self._waiting)

    def submit(self, pending):
        """Queue a :class:`PendingRecord` for the next batch."""
        if isinstance(pending.record, Query):
            self._queries.append(pending)
        else:
            self._waiting.append(pending)

    def withdraw(self, pendings):
        """Take back those of *pendings* that are in no batch yet.

        They will not be logged by this writer, unless they are submitted
        again; so what nobody waits for any more takes no memory.
        """
        gone = {id(pending) for pending in pendings}
        self._waiting = [p for p in self._waiting if id(p) not in gone]
        self._queries = [p for p in self._queries if id(p) not in gone]

    def take_queries(self):
        """Return the waiting queries, to settle after the log's end was read.

        Only a read that began after a query came shows what was committed
        before it by whatever writer.
        """
        queries, self._queries = self._queries, []
        return queries

    def settle_queries(self, queries):
        """Answer *queries* from the state just loaded."""
        for pending in queries:
            pending.settle(self.state.judge(pending.record))

    def is_current(self, listing):
        """Whether a listing of :attr:`next_slot_key` shows no newer batch."""
        return all(
            decode_batch(item.value).position < self.position for item in listing.items
        )

    @property
    def next_slot_key(self):
        """The key that the next batch will be written to."""
        return f"{self.prefix}slot-{self.position % SLOTS:03d}"

    def load(self, listing):
        """Replay the bucket from a listing of its prefix.

        A batch of ours that turns out to be in the log is settled as
        committed; one whose position went to another writer is queued anew.
        Raises :class:`TornListing` when the listing has a gap.
        """
        self.loaded = False
        self._slots = {}
        self.base, self.state, self._checkpoint_index = 0, BucketState(), 0
        batches = {}
        for item in listing.items:
            if item.key == self.checkpoint_key:
                self.base, self.state = decode_checkpoint(item.value)
                self._checkpoint_index = item.modify_index
            else:
                batch = decode_batch(item.value)
                batches[batch.position] = batch
                slot = batch.position % SLOTS
                self._slots[slot] = _Occupant(batch.position, item.modify_index)
        self._replay(batches)
        self.loaded = True

    def build_write(self):
        """Return the next :class:`SlotWrite`, or None if there is none to do.

        The same write is returned until :meth:`commit` or :meth:`load`
        settles it: an absent reply proves nothing.
        """
        if not self.loaded or self.needs_checkpoint:
            return None
        if self._in_flight is None:
            self._start_batch()
        if self._in_flight is None:
            return None
        slot = self._in_flight.batch.position % SLOTS
        occupant = self._slots.get(slot)
        return SlotWrite(
            f"{self.prefix}slot-{slot:03d}",
            encode_batch(self._in_flight.batch),
            occupant.modify_index if occupant else ABSENT,
        )

    def commit(self):
        """The write of :meth:`build_write` took effect: settle its records."""
        done = self._in_flight
        self._in_flight = None
        for record in done.batch.records:
            self.state.apply(record)
        self.position += 1
        # The slot's new index is learned when the ring is next listed, which
        # a checkpoint does long before the slot is due again.
        self._slots.pop(done.batch.position % SLOTS, None)
        done.settle()

    @property
    def needs_checkpoint(self):
        """Whether the ring must be folded before the next append."""
        return self.position - self.base > CHECKPOINT_EVERY

    def build_checkpoint(self, now):
        """Return the write that folds the log so far; *now* since the epoch.

        May be called only right after :meth:`load`, which learns the indexes
        that the slots must still have when they are reused.
        """
        self.state.expire(now)
        value = encode_checkpoint(self.position - 1, self.state)
        return SlotWrite(self.checkpoint_key, value, self._checkpoint_index)

    def commit_checkpoint(self):
        """The write of :meth:`build_checkpoint` took effect."""
        self.base = self.position - 1

    def _replay(self, batches):
        self.position = self.base + 1
        while self.position in batches:
            batch = batches[self.position]
            self.position += 1
            self._replay_batch(batch)
        if any(position > self.position for position in batches):
            raise TornListing(self.prefix)
        self._requeue_lost()

    def _replay_batch(self, batch):
        for record in batch.records:
            self.state.apply(record)
        ours = self._in_flight
        if ours and ours.batch.batch_id == batch.batch_id:
            self._in_flight = None
            ours.settle()

    def _requeue_lost(self):
        lost = self._in_flight
        if lost and lost.batch.position != self.position:
            self._in_flight = None
            self._waiting = [judged.pending for judged in lost.judged] + self._waiting

    def _start_batch(self):
        """Judge what waits against the state, and batch what must be written.

        Verdicts that rest on records of this batch wait for its commit.
        """
        trial = _Trial(self.state)
        judged, records = [], []
        while self._waiting and len(records) < MAX_BATCH_RECORDS:
            pending = self._waiting.pop(0)
            verdict, effective = trial.apply(pending.record)
            if not effective and not records:
                pending.settle(verdict)
                continue
            judged.append(_Judged(pending, verdict))
            if effective:
                records.append(pending.record)
        if records:
            batch = Batch(self.position, self.writer, uuid.uuid4().hex, tuple(records))
            self._in_flight = _InFlight(batch, tuple(judged))


class _Trial:
    """Judges records in sequence without touching the real state."""

    def __init__(self, state):
        self._real = state
        self._state = BucketState()

    def apply(self, record):
        """Return the verdict, and whether the record would change the state."""
        key = record.key
        if key not in self._state.entries and key in self._real.entries:
            self._state.entries[key] = copy.copy(self._real.entries[key])
        before = self._state.entries.get(key)
        verdict = self._state.apply(record)
        return verdict, self._state.entries.get(key) != before

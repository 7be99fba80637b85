"""CBOR forms of batches and checkpoints."""

import cbor2

from .batch import Batch
from .bill import Bill
from .claim import Claim
from .release import Release
from .state import BucketState, Entry, Status, Total

RECORD_TYPES = (Claim, Release, Bill)


def encode_record(record):
    """Return the list form of a record."""
    return [RECORD_TYPES.index(type(record)), *vars(record).values()]


def decode_record(row):
    """Return the record of a list form."""
    return RECORD_TYPES[row[0]](*row[1:])


def encode_batch(batch):
    """Return the stored bytes of *batch*."""
    rows = [encode_record(record) for record in batch.records]
    return cbor2.dumps([batch.position, batch.writer, batch.batch_id, rows])


def decode_batch(data):
    """Return the :class:`Batch` in *data*."""
    position, writer, batch_id, rows = cbor2.loads(data)
    return Batch(position, writer, batch_id, tuple(decode_record(r) for r in rows))


def encode_checkpoint(base, state):
    """Return the stored bytes of a checkpoint that covers up to *base*."""
    entries = [[key, *vars(entry).values()] for key, entry in state.entries.items()]
    totals = [[*account, *vars(t).values()] for account, t in state.totals.items()]
    return cbor2.dumps([base, entries, totals])


def decode_checkpoint(data):
    """Return the base position and the :class:`BucketState` in *data*."""
    base, entries, totals = cbor2.loads(data)
    state = BucketState()
    for key, status, *rest in entries:
        state.entries[key] = Entry(Status(status), *rest)
    for team, version, *numbers in totals:
        state.totals[team, version] = Total(*numbers)
    return base, state

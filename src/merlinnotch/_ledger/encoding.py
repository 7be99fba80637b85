"""CBOR encoding of batches and checkpoints."""

import cbor2

from .batch import Batch
from .bill import Bill
from .claim import Claim
from .release import Release
from .state import BucketState, Entry, RequestStatus, Total

# Positions are codes in stored data: never reorder.
RECORD_TYPES = (Claim, Release, Bill)


def encode_record(record):
    """Return *record* as a list of its type code and field values."""
    return [RECORD_TYPES.index(type(record)), *vars(record).values()]


def decode_record(values):
    """Return the record of a list made by :func:`encode_record`."""
    return RECORD_TYPES[values[0]](*values[1:])


def encode_batch(batch):
    """Return the CBOR bytes of *batch*."""
    records = [encode_record(record) for record in batch.records]
    return cbor2.dumps([batch.position, batch.writer, batch.batch_id, records])


def decode_batch(data):
    """Return the :class:`Batch` encoded in *data*."""
    position, writer, batch_id, records = cbor2.loads(data)
    return Batch(
        position, writer, batch_id, tuple(decode_record(values) for values in records)
    )


def encode_checkpoint(position, state):
    """Return the CBOR bytes of a checkpoint of the log up to *position*, inclusive."""
    entries = [[key, *vars(entry).values()] for key, entry in state.entries.items()]
    totals = [
        [*total_key, *vars(total).values()] for total_key, total in state.totals.items()
    ]
    return cbor2.dumps([position, entries, totals])


def decode_checkpoint(data):
    """Return the last position covered and the :class:`BucketState` in *data*."""
    position, entries, totals = cbor2.loads(data)
    state = BucketState()
    for key, status, *entry_fields in entries:
        state.entries[key] = Entry(RequestStatus(status), *entry_fields)
    for team, version, *total_fields in totals:
        state.totals[team, version] = Total(*total_fields)
    return position, state

"""Messages between instances and their CBOR encoding."""

import dataclasses

import cbor2

from .._cbor import decode_cbor
from .._ledger import Bill, Claim, Query, RecordResult, Release
from .._rate_limits import LimitReport, PermitAnswer, PermitQuestion, PermitReturn
from .heartbeat import Heartbeat
from .leaving import Leaving
from .listing import ListedUpstream
from .load import LoadedVersions, LoadReport
from .member import Member
from .quarantine import Quarantine
from .tally import InstanceTally, Tally
from .zone import ZoneView


@dataclasses.dataclass(frozen=True)
class GossipRequest:
    """Sends the changes since the last exchange and asks for the receiver's.

    *seen_updates* and *seen_heartbeats* are the receiver's sequence numbers up to which
    the sender has all changes; *revision* is the one in force at the sender.
    *updates* and *beats* are (key, value) pairs of gossip state and heartbeats.
    """

    instance: str
    zone: str
    seen_updates: int
    seen_heartbeats: int
    revision: int
    updates: tuple
    beats: tuple


@dataclasses.dataclass(frozen=True)
class GossipReply:
    """The answer to a :class:`GossipRequest`.

    The requester sends *update_sequence* and *beat_sequence* as seen next time.
    *proof_age_s* is the age in seconds of the proof that *revision* is the
    newest. *body* is the encoded revision if the requester's is older.
    """

    zone: str
    incarnation: int
    update_sequence: int
    beat_sequence: int
    revision: int
    proof_age_s: float
    body: bytes
    updates: tuple
    beats: tuple


@dataclasses.dataclass(frozen=True)
class RecordRequest:
    """Asks the owner of *bucket* to log its *records*."""

    bucket: int
    records: tuple


@dataclasses.dataclass(frozen=True)
class RecordReply:
    """One result per record, None if it was not available in time."""

    results: tuple


@dataclasses.dataclass(frozen=True)
class BeginRequest:
    """Notifies a bucket's owner that instance *holder* wants to run a request.

    The request is idempotent. *replace* is true if the known holder no longer
    has the answer.
    """

    bucket: int
    key: bytes
    digest: bytes
    holder: str
    replace: bool


@dataclasses.dataclass(frozen=True)
class BeginReply:
    """The answer to a :class:`BeginRequest`.

    *holder* is the instance that is running or has run the request. *different*
    is true if the key belongs to a request with other content.
    """

    holder: str
    different: bool


@dataclasses.dataclass(frozen=True)
class FetchAnswer:
    """Asks for a request's answer; waits up to *wait_s* for a running attempt."""

    key: bytes
    wait_s: float


@dataclasses.dataclass(frozen=True)
class AnswerReply:
    """The answer to a :class:`FetchAnswer`.

    *found* is false if no answer is stored and no attempt is running.
    """

    found: bool
    answer: bytes


@dataclasses.dataclass(frozen=True)
class StoreBillCopies:
    """Asks a peer to keep copies of bills that are not yet in the ledger."""

    instance: str
    incarnation: int
    bills: tuple


@dataclasses.dataclass(frozen=True)
class DeleteBillCopies:
    """Notifies a peer that bills are in the ledger; also used as an acknowledgement."""

    keys: tuple


@dataclasses.dataclass(frozen=True)
class FetchListing:
    """Asks for the platform's list as last read by the receiver."""


@dataclasses.dataclass(frozen=True)
class ListingReply:
    """The rows of the platform's list."""

    rows: tuple


MESSAGE_TYPES = (
    GossipRequest,
    GossipReply,
    RecordRequest,
    RecordReply,
    BeginRequest,
    BeginReply,
    FetchAnswer,
    AnswerReply,
    StoreBillCopies,
    DeleteBillCopies,
    FetchListing,
    ListingReply,
)

LATER_MESSAGE_TYPES = (
    PermitQuestion,
    PermitAnswer,
    PermitReturn,
    LimitReport,
)
"""Added after the values below had their codes."""

# Values inside messages. Positions in all tuples are codes on the wire: never reorder.
_VALUE_TYPES = (
    Claim,
    Release,
    Bill,
    RecordResult,
    Member,
    Tally,
    Leaving,
    LoadReport,
    Quarantine,
    InstanceTally,
    Query,
    ListedUpstream,
    Heartbeat,
    LoadedVersions,
    ZoneView,
)
_ALL_TYPES = MESSAGE_TYPES + _VALUE_TYPES + LATER_MESSAGE_TYPES
_CODES_BY_TYPE = {cls: code for code, cls in enumerate(_ALL_TYPES)}
_TYPES_BY_CODE = {code: cls for cls, code in _CODES_BY_TYPE.items()}
_CBOR_TAG = 40_500


def encode_message(message, correlation_id):
    """Return the bytes of a message; *correlation_id* matches replies to requests."""
    return cbor2.dumps([correlation_id, _pack(message)])


def decode_message(data):
    """Return the correlation id and the message in *data*.

    Raise ValueError if *data* is not an encoded message.
    """
    try:
        correlation_id, packed = decode_cbor(data)
        message = _unpack(packed)
    except (ValueError, TypeError, KeyError, IndexError) as error:
        raise ValueError(str(error)) from error
    if not isinstance(message, MESSAGE_TYPES + LATER_MESSAGE_TYPES):
        raise ValueError(f"{type(message).__name__} is not a message type")
    return correlation_id, message


def _pack(value):
    code = _CODES_BY_TYPE.get(type(value))
    if code is not None:
        return cbor2.CBORTag(_CBOR_TAG, [code, *map(_pack, vars(value).values())])
    if isinstance(value, (list, tuple)):
        return [_pack(item) for item in value]
    return value


def _unpack(value):
    if isinstance(value, cbor2.CBORTag):
        code, *fields = value.value
        return _TYPES_BY_CODE[code](*map(_unpack, fields))
    if isinstance(value, (list, tuple)):
        return tuple(_unpack(item) for item in value)
    return value

"""Messages between instances, and their CBOR form."""

import dataclasses

import cbor2

from .._ledger import Bill, Claim, Query, Release, Verdict
from .beat import Beat
from .leaving import Leaving
from .listing import ListedUpstream
from .load import LoadedVersions, LoadReport
from .member import Member
from .quarantine import Quarantine
from .tally import InstanceTally, Tally
from .zone import ZoneView


@dataclasses.dataclass(frozen=True)
class GossipRequest:
    """What changed since the last exchange; asks for the same.

    *seen_words* and *seen_beats* are the latest sequences of the receiver
    that the sender has, *revision* the number in force at the sender.
    """

    instance: str
    zone: str
    seen_words: int
    seen_beats: int
    revision: int
    words: tuple
    beats: tuple


@dataclasses.dataclass(frozen=True)
class GossipReply:
    """The answer to a :class:`GossipRequest`.

    *word_sequence* and *beat_sequence* are what to ask from next time.
    *proof_age_s* is the age of the sender's proof that *revision* is the
    newest; *body* has its encoded bytes when the asker is behind.
    """

    zone: str
    incarnation: int
    word_sequence: int
    beat_sequence: int
    revision: int
    proof_age_s: float
    body: bytes
    words: tuple
    beats: tuple


@dataclasses.dataclass(frozen=True)
class RecordRequest:
    """Asks the owner of a bucket to log records of that bucket."""

    bucket: int
    records: tuple


@dataclasses.dataclass(frozen=True)
class RecordReply:
    """One verdict for each record, None where it was not known in time."""

    verdicts: tuple


@dataclasses.dataclass(frozen=True)
class BeginRequest:
    """Tells a bucket's owner that *holder* wants to run an idempotent request.

    *replace* says that the known holder no longer has the answer.
    """

    bucket: int
    key: bytes
    digest: bytes
    holder: str
    replace: bool


@dataclasses.dataclass(frozen=True)
class BeginReply:
    """*holder* is the instance that runs or has run the request.

    *different* says that the key belongs to a request with other content.
    """

    holder: str
    different: bool


@dataclasses.dataclass(frozen=True)
class FetchAnswer:
    """Asks for the answer to a request, waiting for a running attempt."""

    key: bytes
    wait_s: float


@dataclasses.dataclass(frozen=True)
class AnswerReply:
    """*found* is False where no answer is kept and none is under way."""

    found: bool
    answer: bytes


@dataclasses.dataclass(frozen=True)
class KeepCopies:
    """Asks a peer to hold copies of bills not yet in the ledger."""

    instance: str
    incarnation: int
    bills: tuple


@dataclasses.dataclass(frozen=True)
class DropCopies:
    """Tells a peer that these bills are in the ledger; also acknowledges."""

    keys: tuple


@dataclasses.dataclass(frozen=True)
class FetchListing:
    """Asks for the platform's list as last seen."""


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
    KeepCopies,
    DropCopies,
    FetchListing,
    ListingReply,
)

# Values that travel inside messages. Never reorder: positions are the codes.
_VALUE_TYPES = (
    Claim,
    Release,
    Bill,
    Verdict,
    Member,
    Tally,
    Leaving,
    LoadReport,
    Quarantine,
    InstanceTally,
    Query,
    ListedUpstream,
    Beat,
    LoadedVersions,
    ZoneView,
)
_CODES = {kind: code for code, kind in enumerate(MESSAGE_TYPES + _VALUE_TYPES)}
_KINDS = {code: kind for kind, code in _CODES.items()}
_TAG = 40_500


def encode_message(message, correlation):
    """Return the bytes of a message; *correlation* ties reply to request."""
    return cbor2.dumps([correlation, _pack(message)])


def decode_message(data):
    """Return the correlation number and the message in *data*.

    Raises ValueError for bytes that are no message.
    """
    try:
        correlation, packed = cbor2.loads(data)
        message = _unpack(packed)
    except (cbor2.CBORDecodeError, TypeError, KeyError, IndexError) as error:
        raise ValueError(str(error)) from error
    if not isinstance(message, MESSAGE_TYPES):
        raise ValueError(f"{type(message).__name__} is no message")
    return correlation, message


def _pack(value):
    code = _CODES.get(type(value))
    if code is not None:
        return cbor2.CBORTag(_TAG, [code, *map(_pack, vars(value).values())])
    if isinstance(value, (list, tuple)):
        return [_pack(item) for item in value]
    return value


def _unpack(value):
    if isinstance(value, cbor2.CBORTag):
        code, *fields = value.value
        return _KINDS[code](*map(_unpack, fields))
    if isinstance(value, (list, tuple)):
        return tuple(_unpack(item) for item in value)
    return value

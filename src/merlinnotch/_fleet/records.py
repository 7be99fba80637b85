"""Store keys that instances themselves write, and their CBOR values."""

from typing import Annotated

import cbor2
import msgspec

from .._cbor import decode_cbor
from .._errors import ConfigurationInvalid
from .._store.keys import ROOT
from .rollout import Stage
from .store_entries import BlockedRequest, PeerAddress

MAX_COUNT = 2**53
MAX_NAME_LENGTH = 256
_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
_Age = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_COUNT))]


class _PeerRecord(msgspec.Struct, array_like=True):
    zone: _Name
    address: _Name


class _StageRecord(msgspec.Struct, array_like=True):
    """The fields of a :class:`Stage`; earlier releases don't write the last two."""

    order_index: Annotated[int, msgspec.Meta(ge=0)]
    number: _Count
    share: _Share
    age_s: _Age
    canaries: _Count = 1
    bad_answers: _Count = 0


PEER_PREFIX = f"{ROOT}peers/"
STAGE_PREFIX = f"{ROOT}stages/"
BLOCKED_PREFIX = f"{ROOT}blocked/"


def peer_key(name):
    """Return the key for the address of instance *name*."""
    return PEER_PREFIX + name


def stage_key(service):
    """Return the key for the stage of a service's rollout."""
    return STAGE_PREFIX + service


def blocked_key(fingerprint):
    """Return the key that marks a request as blocked."""
    return BLOCKED_PREFIX + fingerprint.hex()


def encode_peer(peer):
    """Return the value of a :class:`PeerAddress`."""
    return cbor2.dumps([peer.zone, peer.address])


def encode_stage(stage):
    """Return the value of a :class:`Stage`."""
    fields = [stage.order_index, stage.number, stage.share, stage.age_s, stage.canaries]
    # Earlier releases can't decode this field, so it is left out while they need not.
    if stage.bad_answers:
        fields.append(stage.bad_answers)
    return cbor2.dumps(fields)


def decode_record(key, value, index):
    """Return the entry of a key that instances write, None for any other key.

    Raise :exc:`ConfigurationInvalid` if the key or the decoded value is malformed.
    """
    try:
        if key.startswith(PEER_PREFIX):
            peer = msgspec.convert(decode_cbor(value), _PeerRecord)
            return PeerAddress(key[len(PEER_PREFIX) :], peer.zone, peer.address)
        if key.startswith(STAGE_PREFIX):
            stage = msgspec.convert(decode_cbor(value), _StageRecord)
            return Stage(
                key[len(STAGE_PREFIX) :],
                stage.order_index,
                stage.number,
                stage.share,
                stage.age_s,
                index,
                stage.canaries,
                stage.bad_answers,
            )
        if key.startswith(BLOCKED_PREFIX):
            return BlockedRequest(bytes.fromhex(key[len(BLOCKED_PREFIX) :]))
    except (ValueError, msgspec.ValidationError) as error:
        raise ConfigurationInvalid([f"{key}: {error}"]) from error
    return None

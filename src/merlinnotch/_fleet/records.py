"""Store keys that instances themselves write, and their CBOR values."""

import cbor2

from .._cbor import decode_cbor
from .._errors import ConfigurationInvalid
from .._store.keys import ROOT
from .rollout import Stage
from .store_entries import BlockedRequest, PeerAddress

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
            zone, address = decode_cbor(value)
            return PeerAddress(key[len(PEER_PREFIX) :], zone, address)
        if key.startswith(STAGE_PREFIX):
            # Earlier releases write no canary count and no bad answers.
            order_index, number, share, age_s, *rest = decode_cbor(value)
            service = key[len(STAGE_PREFIX) :]
            return Stage(service, order_index, number, share, age_s, index, *rest)
        if key.startswith(BLOCKED_PREFIX):
            return BlockedRequest(bytes.fromhex(key[len(BLOCKED_PREFIX) :]))
    except (ValueError, TypeError) as error:
        raise ConfigurationInvalid([f"{key}: {error}"]) from error
    return None

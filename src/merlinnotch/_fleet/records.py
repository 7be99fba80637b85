"""Our own keys in the store, and their values in CBOR."""

import cbor2

from .._errors import ConfigurationInvalid
from .._store.keys import ROOT
from .facts import BlockedRequest, PeerAddress
from .rollout import Stage

PEER_PREFIX = f"{ROOT}peers/"
STAGE_PREFIX = f"{ROOT}stages/"
BLOCKED_PREFIX = f"{ROOT}blocked/"


def peer_key(name):
    """Return where instance *name* tells its address."""
    return PEER_PREFIX + name


def stage_key(service):
    """Return where the stage of a service's roll-out is kept."""
    return STAGE_PREFIX + service


def blocked_key(fingerprint):
    """Return where it is kept that a request is blocked."""
    return BLOCKED_PREFIX + fingerprint.hex()


def encode_peer(peer):
    """Return the value of a :class:`PeerAddress`."""
    return cbor2.dumps([peer.zone, peer.address])


def encode_stage(stage):
    """Return the value of a :class:`Stage`."""
    row = [stage.order_index, stage.number, stage.share, stage.age_s, stage.canaries]
    return cbor2.dumps(row)


def decode_record(key, value, index):
    """Return the fact in one of our own items, None for any other key."""
    try:
        if key.startswith(PEER_PREFIX):
            zone, address = cbor2.loads(value)
            return PeerAddress(key[len(PEER_PREFIX) :], zone, address)
        if key.startswith(STAGE_PREFIX):
            # Instances of an earlier release write no count of canaries.
            order_index, number, share, age_s, *rest = cbor2.loads(value)
            service = key[len(STAGE_PREFIX) :]
            return Stage(service, order_index, number, share, age_s, index, *rest)
        if key.startswith(BLOCKED_PREFIX):
            return BlockedRequest(bytes.fromhex(key[len(BLOCKED_PREFIX) :]))
    except (ValueError, TypeError) as error:
        raise ConfigurationInvalid([f"{key}: {error}"]) from error
    return None

"""Header fields of relayed requests and of refusals to relay them."""

import base64
import binascii

import msgspec

from .._errors import ErrorKind, MalformedMessage, Outcome

RELAY_FIELD = "merlinnotch-relay"
REFUSAL_FIELD = "merlinnotch-relay-refusal"
RELAY_FIELDS = frozenset({RELAY_FIELD, REFUSAL_FIELD})
"""Fields that only instances may send to each other."""


class RelayMark(msgspec.Struct, frozen=True, kw_only=True):
    """What the instance *origin* has decided about a request that it relays.

    *team* is the name of the authenticated team, *service* the one drawn for the
    request. The caller waits for *remaining_s* seconds more. *model* and
    *last_event_id* replace the values of the request unless they are None.
    *send_count* is how many upstreams the request was sent to before.
    *configuration_version* is the one that these decisions were made with.
    """

    origin: str
    configuration_version: int
    team: str | None
    service: str
    remaining_s: float
    model: str | None = None
    last_event_id: int | None = None
    send_count: int = 0


class RelayedRefusal(msgspec.Struct, frozen=True, kw_only=True):
    """The fields of a :class:`RequestRefused` that the relaying peer raised.

    *is_elsewhere_possible* tells whether another peer may take the request.
    *send_count* is how many times the peer sent it to upstreams. *attempt_id* is the id
    of the request; refusals of earlier releases lack it.
    """

    kind: ErrorKind
    outcome: Outcome
    detail: str = ""
    retry_after_s: float | None = None
    is_elsewhere_possible: bool = False
    send_count: int = 0
    attempt_id: str | None = None


def encode_mark(mark):
    """Return the value of RELAY_FIELD for a :class:`RelayMark`."""
    return _encode(mark)


def decode_mark(value):
    """Return the :class:`RelayMark`; raises :class:`MalformedMessage`."""
    return _decode(value, RelayMark)


def encode_refusal(refusal):
    """Return the value of REFUSAL_FIELD for a :class:`RelayedRefusal`."""
    return _encode(refusal)


def decode_refusal(value):
    """Return the :class:`RelayedRefusal`; raises :class:`MalformedMessage`."""
    return _decode(value, RelayedRefusal)


def _encode(struct):
    return base64.urlsafe_b64encode(msgspec.msgpack.encode(struct)).decode()


def _decode(value, struct_type):
    try:
        return msgspec.msgpack.decode(base64.urlsafe_b64decode(value), type=struct_type)
    except (msgspec.MsgspecError, binascii.Error, ValueError) as error:
        raise MalformedMessage(f"invalid relay field: {error}") from error

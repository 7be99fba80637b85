"""Relaying of requests through a peer that reaches their upstreams.

Decisions and encodings without I/O; :mod:`merlinnotch._entry.relay_exchange` exchanges
the messages and :mod:`merlinnotch._gateway.relay` sends the requests.
"""

from .fields import (
    REFUSAL_FIELD,
    RELAY_FIELD,
    RELAY_FIELDS,
    RelayedRefusal,
    RelayMark,
    decode_mark,
    decode_refusal,
    encode_mark,
    encode_refusal,
)
from .messages import RelayAnswer, RelayQuestion
from .peers import RelayPeer, RelayPeers

__all__ = [
    "REFUSAL_FIELD",
    "RELAY_FIELD",
    "RELAY_FIELDS",
    "RelayAnswer",
    "RelayMark",
    "RelayPeer",
    "RelayPeers",
    "RelayQuestion",
    "RelayedRefusal",
    "decode_mark",
    "decode_refusal",
    "encode_mark",
    "encode_refusal",
]

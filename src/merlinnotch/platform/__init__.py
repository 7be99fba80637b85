"""The users' platform: its names, formats and calls. Nothing here decides."""

from .documents import decode_item, encode_status
from .headers import (
    ANSWER_DROPPED,
    REQUEST_DROPPED,
    CallHeaders,
    decode_call,
    encode_call,
    is_not_run,
    read_answer,
)
from .keys import EVERYTHING, STATUS_PREFIX, is_upstream_key, status_key
from .store import PlatformStore

__all__ = [
    "ANSWER_DROPPED",
    "EVERYTHING",
    "REQUEST_DROPPED",
    "STATUS_PREFIX",
    "CallHeaders",
    "PlatformStore",
    "decode_call",
    "decode_item",
    "encode_call",
    "encode_status",
    "is_not_run",
    "is_upstream_key",
    "read_answer",
    "status_key",
]

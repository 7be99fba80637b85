"""Key names, formats and protocol of the platform, without routing decisions."""

from .contracts import is_under_pressure
from .documents import decode_item, encode_status, parse_configuration
from .field_errors import FieldError, format_place
from .headers import (
    MISDIRECTED_STATUS,
    UNFORWARDED_REQUEST_FIELDS,
    RequestHeaders,
    UpstreamNotice,
    decode_notice,
    decode_request,
    decode_response,
    encode_request,
    get_attempt_id,
    has_attempt_id,
    was_not_executed,
)
from .keys import ALL_KEYS_PREFIX, CONFIGURATION, status_key
from .store import PlatformStore

__all__ = [
    "ALL_KEYS_PREFIX",
    "CONFIGURATION",
    "FieldError",
    "MISDIRECTED_STATUS",
    "UNFORWARDED_REQUEST_FIELDS",
    "PlatformStore",
    "RequestHeaders",
    "UpstreamNotice",
    "decode_item",
    "decode_notice",
    "decode_request",
    "decode_response",
    "encode_request",
    "encode_status",
    "format_place",
    "get_attempt_id",
    "has_attempt_id",
    "is_under_pressure",
    "parse_configuration",
    "status_key",
    "was_not_executed",
]

"""Exceptions, error kinds and the responses they map to."""

from .exceptions import (
    CallerDisconnected,
    ChangesExpired,
    ConfigurationError,
    ConfigurationInvalid,
    ConnectFailed,
    ConnectionBroken,
    ConnectionTimedOut,
    ConnectRefused,
    InvalidSettings,
    MalformedMessage,
    MerlinnotchError,
    PathLost,
    RequestRefused,
    ResponseTooLong,
    RevisionConflict,
    StoreConflict,
    StoreError,
    StoreUnavailable,
    TransportError,
)
from .kinds import ErrorKind
from .outcomes import Outcome
from .responses import (
    ERROR_RESPONSES,
    TIMED_KINDS,
    ErrorResponse,
    get_error_response,
)

__all__ = [
    "ERROR_RESPONSES",
    "TIMED_KINDS",
    "CallerDisconnected",
    "ChangesExpired",
    "ConfigurationError",
    "ConfigurationInvalid",
    "ConnectFailed",
    "ConnectRefused",
    "ConnectionBroken",
    "ConnectionTimedOut",
    "ErrorKind",
    "ErrorResponse",
    "InvalidSettings",
    "MalformedMessage",
    "MerlinnotchError",
    "Outcome",
    "PathLost",
    "RequestRefused",
    "ResponseTooLong",
    "RevisionConflict",
    "StoreConflict",
    "StoreError",
    "StoreUnavailable",
    "TransportError",
    "get_error_response",
]

"""The exception tree and the closed list of error kinds."""

from .answers import ANSWERS, ErrorAnswer, answer_for
from .exceptions import (
    BadSettings,
    ConfigurationError,
    ConfigurationInvalid,
    MerlinnotchError,
    RequestRefused,
    RevisionConflict,
    StoreConflict,
    StoreError,
    StoreUnavailable,
)
from .kinds import ErrorKind
from .outcomes import Outcome

__all__ = [
    "ANSWERS",
    "BadSettings",
    "ConfigurationError",
    "ConfigurationInvalid",
    "ErrorAnswer",
    "ErrorKind",
    "MerlinnotchError",
    "Outcome",
    "RequestRefused",
    "RevisionConflict",
    "StoreConflict",
    "StoreError",
    "StoreUnavailable",
    "answer_for",
]

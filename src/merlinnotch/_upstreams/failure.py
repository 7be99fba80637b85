"""Ways in which an attempt at an upstream can fail."""

import enum
from dataclasses import dataclass

from .._errors import ErrorKind, MerlinnotchError


class FailureReason(enum.StrEnum):
    """Why an attempt failed; also the reason of the retry that follows."""

    CONNECT = "connect"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    VERSION_MISSING = "version_missing"
    ERROR = "error"
    EMPTY = "empty"
    REJECTED = "rejected"
    SILENT = "silent"
    BROKEN = "broken"
    MISMATCHED = "mismatched"


@dataclass(frozen=True)
class FailureTraits:
    """What a reason means.

    *ran*: the request may have run. *hurts_upstream*: it counts against the
    upstream's health; *unreachable*: until it reports its load again.
    *hurts_version*: it counts against the version if another upstream
    confirms it. *kind* is what the caller is told at the end.
    """

    ran: bool
    hurts_upstream: bool
    hurts_version: bool
    kind: ErrorKind
    unreachable: bool = False


TRAITS = {
    FailureReason.CONNECT: FailureTraits(
        False, True, False, ErrorKind.NO_UPSTREAM, True
    ),
    FailureReason.OVERLOADED: FailureTraits(False, False, False, ErrorKind.OVERLOADED),
    FailureReason.LEAVING: FailureTraits(False, False, False, ErrorKind.NO_UPSTREAM),
    FailureReason.VERSION_MISSING: FailureTraits(
        False, False, False, ErrorKind.NO_UPSTREAM
    ),
    FailureReason.ERROR: FailureTraits(True, True, True, ErrorKind.UPSTREAM_FAILED),
    FailureReason.EMPTY: FailureTraits(True, False, True, ErrorKind.UPSTREAM_FAILED),
    FailureReason.REJECTED: FailureTraits(False, False, False, ErrorKind.BAD_REQUEST),
    FailureReason.SILENT: FailureTraits(
        True, True, False, ErrorKind.UPSTREAM_SILENT, True
    ),
    FailureReason.BROKEN: FailureTraits(True, True, False, ErrorKind.UPSTREAM_FAILED),
    FailureReason.MISMATCHED: FailureTraits(
        True, True, False, ErrorKind.UPSTREAM_FAILED
    ),
}


class AttemptFailed(MerlinnotchError):
    """One attempt at one upstream failed."""

    def __init__(self, reason, detail=""):
        super().__init__(detail or reason.value)
        self.reason = reason

    @property
    def traits(self):
        """The :class:`FailureTraits` of the reason."""
        return TRAITS[self.reason]

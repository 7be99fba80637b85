"""Classification of failed attempts at upstreams."""

import enum
from dataclasses import dataclass

from .._errors import ErrorKind, MerlinnotchError


class FailureReason(enum.StrEnum):
    """The reason for which an attempt failed; also a label of the retry metric."""

    CONNECT = "connect"
    OVERLOADED = "overloaded"
    RESTING = "resting"
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
    """The consequences of a failure reason.

    *may_have_run* is true if the upstream may have run the request.
    *counts_against_upstream* adds to the failures that eject the upstream; with
    *unreachable* its next load report ends the ejection. *counts_against_version*
    adds to the errors of the version, once confirmed at a second upstream. *kind* is
    the error that the caller gets if no retry follows.
    """

    may_have_run: bool
    counts_against_upstream: bool
    counts_against_version: bool
    kind: ErrorKind
    unreachable: bool = False


FAILURE_TRAITS = {
    FailureReason.CONNECT: FailureTraits(
        False, True, False, ErrorKind.NO_UPSTREAM, True
    ),
    FailureReason.OVERLOADED: FailureTraits(False, False, False, ErrorKind.OVERLOADED),
    FailureReason.RESTING: FailureTraits(False, False, False, ErrorKind.OVERLOADED),
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
    """One attempt at one upstream failed, for *reason*."""

    def __init__(self, reason, detail=""):
        super().__init__(detail or reason.value)
        self.reason = reason

    @property
    def traits(self):
        """The :class:`FailureTraits` of the reason."""
        return FAILURE_TRAITS[self.reason]

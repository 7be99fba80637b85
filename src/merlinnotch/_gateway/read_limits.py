"""Limits on the wait for the next bytes of an upstream's response."""

import enum
from dataclasses import dataclass

from .._errors import ConnectionTimedOut


class LimitKind(enum.StrEnum):
    """The limit that ended the wait, as logged in ``limit``."""

    DEADLINE = "deadline"
    RESPONSE_HEAD = "response head"
    STALL = "stall"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True)
class ReadLimit:
    """The time *at* on the boot clock at which the wait ends, and what ends it."""

    at: float
    kind: LimitKind


class ReadLimitReached(ConnectionTimedOut):
    """The instance ended the wait for an upstream; *kind* is a :class:`LimitKind`."""

    def __init__(self, kind, detail=""):
        super().__init__(f"{kind} limit: {detail}" if detail else f"{kind} limit")
        self.kind = kind


def read_until(read_next, limit):
    """Return the result of *read_next*, which is called with the time of *limit*.

    Raises :class:`ReadLimitReached` at that time.
    """
    try:
        return read_next(limit.at)
    except ConnectionTimedOut as error:
        raise ReadLimitReached(limit.kind) from error

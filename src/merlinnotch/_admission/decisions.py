"""What is decided about a request."""

from dataclasses import dataclass

from .._errors import ErrorKind


@dataclass(frozen=True)
class Admit:
    """The request may be sent now."""


@dataclass(frozen=True)
class Wait:
    """The request waits at the instance, until *until* on the boot clock at most."""

    until: float


@dataclass(frozen=True)
class Refuse:
    """The request is refused; it was not sent and never will be.

    *retry_after_s* is when the caller should return, in seconds from now. *detail* is
    logged.
    """

    kind: ErrorKind
    retry_after_s: float
    detail: str = ""

"""Claims: the right to run a request."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Claim:
    """One attempt's claim on a request that may run at most once.

    *holder* is the instance that runs it, *digest* tells its content,
    *at* is in seconds since the epoch.
    """

    key: bytes
    attempt: str
    holder: str
    digest: bytes
    at: float

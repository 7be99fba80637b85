"""Claims on requests that must not run twice."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Claim:
    """One attempt's claim to run a request that may run at most once.

    *holder* is the instance that runs the attempt, *digest* is a hash of the request's
    content, and *claimed_at* is in seconds since the epoch.
    """

    key: bytes
    attempt: str
    holder: str
    digest: bytes
    claimed_at: float

"""Releases of unused claims."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Release:
    """Withdraws the claim of *attempt*, which sent the request to no upstream.

    The request may then be claimed again. *released_at* is in seconds since the epoch.
    """

    key: bytes
    attempt: str
    released_at: float

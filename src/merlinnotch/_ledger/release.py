"""Releases: giving back a claim under which nothing ran."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Release:
    """The claim of *attempt* was never used; the request may be claimed anew."""

    key: bytes
    attempt: str
    at: float

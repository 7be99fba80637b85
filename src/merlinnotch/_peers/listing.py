"""The platform's list of instances."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ListedUpstream:
    """One row of the platform's list, which lags."""

    id: str
    address: str
    zone: str
    pool: str
    leaving: bool

"""The platform's list of upstreams."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ListedUpstream:
    """One row of the platform's list, which may be out of date."""

    id: str
    address: str
    zone: str
    pool: str
    leaving: bool

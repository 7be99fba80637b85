"""Bills: what an answered request costs its team."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Bill:
    """The bill of one request; *cost_micros* in millionths of the currency.

    *at* is in seconds since the epoch.
    """

    key: bytes
    team: str
    version: str
    tokens: int
    cost_micros: int
    at: float

"""Billing records of answered requests."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Bill:
    """What one answered request costs its team.

    *key* is from :func:`hash_request_key`, *cost_micros* is in millionths of the
    currency unit, *billed_at* in seconds since the epoch.
    """

    key: bytes
    team: str
    version: str
    tokens: int
    cost_micros: int
    billed_at: float

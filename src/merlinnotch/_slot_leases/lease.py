"""Leases on slots."""

from dataclasses import dataclass


@dataclass(frozen=True)
class SlotLease:
    """The right to have one request under way at an upstream.

    *issuer* is the name of the instance that granted it. An upstream that isn't
    brittle needs no lease; *id* is then 0.
    """

    start: object = None
    id: int = 0
    issuer: str = ""


NO_LEASE_NEEDED = SlotLease()

"""Upstreams as the platform lists them."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Upstream:
    """One incarnation of an upstream; a restart has another id.

    *address* is host:port and may belong to another service later.
    *version* is that of its software. *cold_s* is how much longer it is slow
    after its start, in seconds, when the entry was written.
    """

    id: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    draining: bool = False
    cold_s: float = 0.0

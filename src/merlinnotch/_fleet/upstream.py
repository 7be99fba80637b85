"""Upstreams as the platform lists them."""

import functools
from dataclasses import dataclass


@dataclass(frozen=True)
class UpstreamStart:
    """One start of an upstream: what it holds and counts belongs to this start.

    An upstream may start again under its id. *born_ms* is the Unix millisecond of
    its start by its own clock, 0 where it doesn't say. Clocks may be set back, so
    that starts can be told apart by it but not ordered.
    """

    id: str
    born_ms: int = 0


@dataclass(frozen=True)
class Upstream:
    """One start of an upstream as the platform lists it.

    *address* is host:port and may belong to another service later.
    *version* is that of its software. *cold_s* is how much longer it is slow
    after its start, in seconds, when the entry was written. *born_ms* is as in
    :class:`UpstreamStart`.
    """

    id: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    draining: bool = False
    cold_s: float = 0.0
    born_ms: int = 0

    @functools.cached_property
    def start(self):
        """The :class:`UpstreamStart` that this entry speaks of."""
        return UpstreamStart(self.id, self.born_ms)

"""Upstreams as the platform lists them."""

import functools
from dataclasses import dataclass, field


@dataclass(frozen=True)
class UpstreamStart:
    """The identity of one start of an upstream, which may restart under its id.

    An upstream's state and counters belong to one start. *started_ms* is the start
    time in Unix milliseconds by the upstream's clock, 0 if it reports none. It
    distinguishes starts but does not order them, as clocks may be set back.
    """

    id: str
    started_ms: int = 0


@dataclass(frozen=True)
class Upstream:
    """One start of an upstream as the platform lists it.

    *address* is host:port and may be reused by another service later. *version*
    is the software version. *cold_s* is how many more seconds the upstream was
    cold when the entry was written. *started_ms* is as in :class:`UpstreamStart`.
    *sequence* rises with each entry that a start writes.
    """

    id: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    draining: bool = False
    cold_s: float = 0.0
    started_ms: int = 0
    sequence: int = field(default=0, compare=False)

    @functools.cached_property
    def start(self):
        """The :class:`UpstreamStart` of this entry."""
        return UpstreamStart(self.id, self.started_ms)

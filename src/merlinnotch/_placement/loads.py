"""Load of all upstreams that one instance sends to."""

import random

from .cache import CACHE_MEMORY_SHARE, PrefixCache
from .load import UpstreamLoad

DEFAULT_MEMORY_TOKENS = 100_000


class LoadTable:
    """One :class:`UpstreamLoad` per :class:`UpstreamStart`.

    *find_engine* maps a service name to its engine, or None. Ties are broken by a
    random order per instance, so that instances do not all pick the same idle
    upstream.
    """

    def __init__(self, find_engine, generator=random):
        self._find_engine = find_engine
        self._generator = generator
        self._loads = {}

    def get(self, upstream):
        """Return the load of *upstream*."""
        load = self._loads.get(upstream.start)
        if load is None:
            engine = self._find_engine(upstream.service)
            memory_tokens = engine.memory_tokens if engine else DEFAULT_MEMORY_TOKENS
            cache = PrefixCache(int(memory_tokens * CACHE_MEMORY_SHARE))
            load = UpstreamLoad(cache, self._generator.random())
            self._loads[upstream.start] = load
        return load

    def drop(self, start):
        """Drop a removed upstream; *start* is an :class:`UpstreamStart`."""
        self._loads.pop(start, None)

    def count_in_flight(self):
        """Return this instance's requests in flight by :class:`UpstreamStart`."""
        return {start: load.in_flight for start, load in self._loads.items()}

    def list_reachable(self, upstreams):
        """Return those of *upstreams* whose last connection did not fail."""
        return [u for u in upstreams if self.get(u).reachable]

    def measure_slowdown(self, upstreams, now):
        """Return the mean slowdown of *upstreams*, 1 for unloaded.

        Unreachable upstreams are excluded, since no request can be placed there.
        """
        reachable = self.list_reachable(upstreams)
        slowdowns = [self.get(u).measure_slowdown(now) for u in reachable]
        return sum(slowdowns) / len(slowdowns) if slowdowns else 1.0

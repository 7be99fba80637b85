"""The loads of all upstreams that one instance sends to."""

import random

from .cache import MEMORY_SHARE, PrefixCache
from .load import UpstreamLoad

DEFAULT_MEMORY_TOKENS = 100_000


class LoadTable:
    """One :class:`UpstreamLoad` for each start of an upstream.

    *find_engine* maps a service's name to its engine, or None. Each instance draws
    an order of its own: all would else pick the same one of several idle ones.
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
            tokens = engine.memory_tokens if engine else DEFAULT_MEMORY_TOKENS
            cache = PrefixCache(int(tokens * MEMORY_SHARE))
            load = UpstreamLoad(cache, self._generator.random())
            self._loads[upstream.start] = load
        return load

    def drop(self, start):
        """Forget an upstream that has left; *start* is an :class:`UpstreamStart`."""
        self._loads.pop(start, None)

    def list_reachable(self, upstreams):
        """Return those of *upstreams* that can be connected to, as far as known."""
        return [u for u in upstreams if self.get(u).reachable]

    def measure_slowdown(self, upstreams, now):
        """Return how many times slower than unloaded streams are on average.

        Upstreams behind a cut are left out: nothing can be placed there.
        """
        reachable = self.list_reachable(upstreams)
        factors = [self.get(u).measure_slowdown(now) for u in reachable]
        return sum(factors) / len(factors) if factors else 1.0

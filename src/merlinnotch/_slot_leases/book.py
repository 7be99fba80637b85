"""The upstreams that say that they are brittle, as one instance knows them."""

import collections
import math

BRITTLE_TTL_S = 60.0
"""How long an upstream counts as brittle after its last response that says so."""
MAX_STARTS = 4096
"""Bounds memory; the start that said so the longest time ago is dropped first."""


class BrittleBook:
    """The starts that are brittle, and when they last said so."""

    def __init__(self):
        self._told_at = collections.OrderedDict()

    def is_brittle(self, start, now):
        """Return whether *start* is brittle at *now*."""
        return now - self._told_at.get(start, -math.inf) < BRITTLE_TTL_S

    def record_brittle(self, start, now):
        """Record that *start* is brittle; return whether this is new."""
        is_new = not self.is_brittle(start, now)
        self._told_at[start] = now
        self._told_at.move_to_end(start)
        if len(self._told_at) > MAX_STARTS:
            self._told_at.popitem(last=False)
        return is_new

    def record_sound(self, start, asked_at):
        """Record a response that doesn't say so to a request sent at *asked_at*.

        Return whether this ends the brittle time. A response to an earlier request
        may have been sent before it began.
        """
        if start not in self._told_at or asked_at < self._told_at[start]:
            return False
        del self._told_at[start]
        return True

    def drop(self, start):
        """Drop a start that has ended."""
        self._told_at.pop(start, None)

"""The limits of all upstreams, as one instance knows them."""

import collections

MAX_STARTS = 4096
"""Bounds memory; the start whose limit was updated the longest time ago is dropped
first."""


class LimitBook:
    """The latest :class:`LimitReading` of each start that has named a limit.

    *start* identifies one start of an upstream and may be any hashable. A limit holds
    until the upstream ends it or :meth:`drop` is called for the start. An ended limit
    is remembered, so that an older report can't restore it.
    """

    def __init__(self, max_starts=MAX_STARTS):
        self._max_starts = max_starts
        self._readings = collections.OrderedDict()

    def get(self, start):
        """Return the limit of *start* in requests per second, None without one."""
        reading = self._readings.get(start)
        return reading.per_s if reading is not None else None

    def get_reading(self, start):
        """Return the :class:`LimitReading` of *start*, or None."""
        return self._readings.get(start)

    def record(self, start, reading):
        """Update the limit of *start* by *reading*; return whether it changes."""
        current = self._readings.get(start)
        if current is None and reading.per_s is None:
            return False
        combined = reading if current is None else current.combine(reading)
        self.replace(start, combined)
        return current is None or combined.per_s != current.per_s

    def replace(self, start, reading):
        """Set the reading of *start*, whatever is known of it."""
        self._readings[start] = reading
        self._readings.move_to_end(start)
        if len(self._readings) > self._max_starts:
            self._readings.popitem(last=False)

    def list_limited(self):
        """Return the starts whose limit is in force."""
        return [s for s, r in self._readings.items() if r.per_s is not None]

    def drop(self, start):
        """Drop the limit of a start that has ended."""
        self._readings.pop(start, None)

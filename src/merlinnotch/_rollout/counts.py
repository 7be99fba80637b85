"""Counts of answers and their times during a rollout."""

import collections
from dataclasses import dataclass, field, replace

from .tallies import ReplicatedCounters
from .windows import FailureWindows

MAX_RECENT_TIMES = 24
"""Times kept per service from before an order. For a service with few requests they are
the first baseline of the new version. The limit bounds the messages at the start of a
rollout."""


@dataclass(frozen=True)
class AnswerCounts:
    """Answers by :class:`TallyKey` and their times by :class:`TimeKey`."""

    tallies: ReplicatedCounters
    times: ReplicatedCounters
    _recent_times: dict = field(default_factory=dict)
    _windows: dict = field(default_factory=dict)

    @classmethod
    def start(cls, incarnation):
        """Return empty counts for the process *incarnation*."""
        return cls(ReplicatedCounters(incarnation), ReplicatedCounters(incarnation))

    @property
    def incarnation(self):
        """The unique name of this process."""
        return self.tallies.incarnation

    def remember_time(self, key):
        """Keep a time measured outside a rollout as a baseline for the next one."""
        empty = collections.deque(maxlen=MAX_RECENT_TIMES)
        self._recent_times.setdefault(key.service, empty).append(key)

    def count_time(self, key):
        """Count a time measured in a rollout, and the kept times from before it."""
        for recent_key in self._recent_times.pop(key.service, ()):
            self.times.count(replace(recent_key, order=key.order))
        self.times.count(key)

    def advance_windows(self, order, order_age_s, now):
        """Close the time window of *order* once it has lasted long enough."""
        self._get_windows(order).advance(order_age_s, now)

    def compare_failures(self, order, closed_count=None):
        """Return the :class:`FailureCounts` of the target of *order* by route.

        They are over all windows, or over the open one and the last *closed_count*.
        """
        return self._get_windows(order).sum(closed_count)

    def delete_before(self, order):
        """Delete the counts of earlier orders for the same service."""
        self.tallies.delete_before(order)
        self.times.delete_before(order)

    def _get_windows(self, order):
        windows = self._windows.get(order.service)
        if windows is None or windows.order != order:
            windows = FailureWindows(order, self.tallies)
            self._windows[order.service] = windows
        return windows

"""Comparison of failures by windows of time.

A sum over the time before, during and after a disruption hides a fault: the share of
the new version changes with the stages, so its answers and those of the other versions
come from different times (Simpson's paradox). Like in the Cochran-Mantel-Haenszel test,
only answers of the same window and route are compared, and the comparisons are summed.
"""

import collections

from .failures import FailureCounts, compare_failures
from .tallies import Tally

WINDOW_S = 2.0
"""Short beside disruptions, long beside the interval of reports."""
MAX_WINDOWS = 32
"""Bounds memory. The oldest windows of a longer rollout are summed."""


class FailureWindows:
    """Failures of the target of one order, summed over windows.

    A process that starts during the rollout receives the counts from before its start
    in its first window, which then shows no background.
    """

    def __init__(self, order, tallies):
        self.order = order
        self._tallies = tallies
        self._is_paired = True
        self._started_at = None
        self._closed = []
        self._start = {}

    def advance(self, order_age_s, now):
        """Close the window if it has lasted for :data:`WINDOW_S`."""
        if self._started_at is None:
            self._started_at = now
        if not self._closed:
            missed_s = order_age_s - (now - self._started_at)
            self._is_paired = missed_s < WINDOW_S
        if now - self._started_at < WINDOW_S:
            return
        self._closed.append(self.sum(0))
        if len(self._closed) > MAX_WINDOWS:
            self._closed[:2] = [_add_by_route(self._closed[:2])]
        for key in self._tallies.list_keys(self.order):
            self._start[key] = self._tallies.sum(key)
        self._started_at = now
        self._is_paired = True

    def sum(self, closed_count=None):
        """Return :class:`FailureCounts` by route over the last windows.

        They are the open window and the last *closed_count* closed ones, or all.
        """
        first = 0 if closed_count is None else len(self._closed) - closed_count
        return _add_by_route([*self._closed[max(0, first) :], self._sum_open()])

    def _sum_open(self):
        new, old = collections.defaultdict(Tally), collections.defaultdict(Tally)
        for key in self._tallies.list_keys(self.order):
            side = new if key.version == self.order.target else old
            increment = self._tallies.sum(key).subtract(self._start.get(key, Tally()))
            side[key.route] = side[key.route].add(increment)
        return {
            route: compare_failures(tally, old[route])
            if self._is_paired
            else FailureCounts(unpaired=tally)
            for route, tally in new.items()
        }


def _add_by_route(windows):
    sums = collections.defaultdict(FailureCounts)
    for window in windows:
        for route, failures in window.items():
            sums[route] = sums[route].add(failures)
    return sums

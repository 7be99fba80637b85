"""The usual work time of a service, as a reference for single responses."""

import statistics

SAMPLE_WEIGHT = 0.3
"""Weight of the newest response in the mean of a start."""


class UsualTimes:
    """Median over the starts of a service of their mean work times while warm.

    :class:`WorkTimes` has a mean over all responses that begins with the first one. An
    instance that restarts while an upstream is slow would take that one's work times
    for the usual ones.
    """

    def __init__(self):
        self._means = {}

    def record(self, upstream, work_s):
        """Add a response of *upstream* that took *work_s* seconds at its usual pace."""
        means = self._means.setdefault(upstream.service, {})
        mean_s = means.get(upstream.start, work_s)
        means[upstream.start] = mean_s + SAMPLE_WEIGHT * (work_s - mean_s)

    def get_s(self, service):
        """Return the usual seconds of work, None if none is known."""
        means = self._means.get(service)
        return statistics.median_low(means.values()) if means else None

    def count_starts(self, service):
        """Return of how many starts work times are known."""
        return len(self._means.get(service, ()))

    def drop(self, start):
        """Drop a removed start, an :class:`UpstreamStart`."""
        for means in self._means.values():
            means.pop(start, None)

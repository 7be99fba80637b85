"""Checks on how much of the fleet's counters an instance has received."""

from .stages import MAX_SECOND_STAGE_FRACTION, Exposure

REPORT_TIMEOUT_S = 2.5
"""Time without a report after which an instance counts as silent. During a rollout
each instance reports at least once a second."""
STABILIZATION_S = 1.1
"""Wait from the first reports of a majority to the start of the rate measurement.
Instances report at least once a second, and the first report contains all counts so
far, which would look like a burst."""
MIN_RATE_WINDOW_S = 1.0
"""Shortest time over which the request rate is measured."""


class ReportCoverage:
    """Coverage of the fleet by the reports received for one rollout.

    An instance that has just started or was partitioned knows only part of the requests
    that went to the new version, and must not advance the rollout on that basis.
    Unreported requests are estimated from the rate of the reported ones. *share* is the
    fraction of requests that a bad version may get.
    """

    def __init__(self, share):
        self._share = share
        self._reported_at = {}
        self._majority_since = None
        self._window_started_at = None
        self._window_start_total = 0

    def record_report(self, name, now):
        """Record that instance *name* reported its counters."""
        self._reported_at[name] = now

    def update(self, others, total, now):
        """Update with the *others* present and the *total* of requests counted."""
        if 2 * self._count_reporting(others, now) < len(others):
            self._majority_since = self._window_started_at = None
        elif self._majority_since is None:
            self._majority_since = now
        elif (
            self._window_started_at is None
            and now - self._majority_since >= STABILIZATION_S
        ):
            self._window_started_at = now
            self._window_start_total = total

    @property
    def has_majority(self):
        """Whether most other instances have reported all that they counted."""
        return self._majority_since is not None

    def is_sufficient(self, now):
        """Return whether the reports received suffice to decide on stages."""
        started_at = self._window_started_at
        return started_at is not None and now - started_at >= MIN_RATE_WINDOW_S

    def estimate_exposure(self, counted, age_s, others, now):
        """Return the fleet's estimated :class:`Exposure`, given what was *counted*.

        Unreported requests are assumed to have used the largest share that any stage
        before the last one gives to the new version.
        """
        silent = len(others) - self._count_reporting(others, now)
        scale = (len(others) + 1) / (len(others) + 1 - silent)
        rate = (counted.total - self._window_start_total) / (
            now - self._window_started_at
        )
        total = max(counted.total, rate * age_s)
        unreported = scale * total - counted.total
        new = counted.new + MAX_SECOND_STAGE_FRACTION * self._share * unreported
        return Exposure(new, scale * total)

    def _count_reporting(self, others, now):
        """Return how many of *others* reported within :data:`REPORT_TIMEOUT_S`."""
        return sum(
            1
            for name in others
            if now - self._reported_at.get(name, -REPORT_TIMEOUT_S) < REPORT_TIMEOUT_S
        )

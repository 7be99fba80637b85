"""A concurrency limit that adapts to an upstream's load reports."""

QUEUE_DECREASE_FACTOR = 0.8
OVERLOAD_DECREASE_FACTOR = 0.5
MAX_QUEUE_SHARE = 0.25
MIN_USED_SHARE = 0.8
MAX_LIMIT_SHARE = 1.25
DEFAULT_LIMIT = 4.0


class AdaptiveLimit:
    """The maximum of this instance's requests in flight at one upstream.

    Additive increase, multiplicative decrease (AIMD), by which instances converge on
    equal limits. A load report with a queue of more than a quarter of the slots
    shrinks the limit by a fifth; any other report raises it by one if the limit is
    nearly used up.
    """

    def __init__(self, initial=DEFAULT_LIMIT):
        self._limit = float(initial)

    @property
    def value(self):
        """The limit in requests, at least 1."""
        return max(1, int(self._limit))

    def record_report(self, slots, waiting, in_flight):
        """Adapt to a load report; *in_flight* counts this instance's own requests."""
        if waiting > slots * MAX_QUEUE_SHARE:
            self._limit = max(1.0, self._limit * QUEUE_DECREASE_FACTOR)
        elif in_flight >= self._limit * MIN_USED_SHARE:
            self._limit = min(max(1.0, slots * MAX_LIMIT_SHARE), self._limit + 1)

    def record_overload(self):
        """Halve the limit after a request was refused for lack of capacity."""
        self._limit = max(1.0, self._limit * OVERLOAD_DECREASE_FACTOR)

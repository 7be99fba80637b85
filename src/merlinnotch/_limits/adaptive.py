"""Limits that follow what an upstream can carry."""

DECREASE = 0.8
OVERLOAD_DECREASE = 0.5
WAITING_SHARE = 0.25
USED_SHARE = 0.8
CEILING_SHARE = 1.25
DEFAULT_START = 4.0


class AdaptiveLimit:
    """How many requests this instance may have at one upstream.

    Grows by one for each load report without a queue while the limit is in
    use, and shrinks by a fifth for each report with one: additive increase,
    multiplicative decrease, so that instances converge on equal parts.
    """

    def __init__(self, start=DEFAULT_START):
        self._limit = float(start)

    @property
    def value(self):
        """The limit in requests, at least one."""
        return max(1, int(self._limit))

    def note_report(self, slots, waiting, in_flight):
        """Adapt to a load report that came while *in_flight* were ours."""
        if waiting > slots * WAITING_SHARE:
            self._limit = max(1.0, self._limit * DECREASE)
        elif in_flight >= self._limit * USED_SHARE:
            self._limit = min(max(1.0, slots * CEILING_SHARE), self._limit + 1)

    def note_overload(self):
        """Adapt to a refusal for lack of capacity."""
        self._limit = max(1.0, self._limit * OVERLOAD_DECREASE)

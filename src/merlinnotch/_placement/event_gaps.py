"""Time between the events of a stream on an unloaded engine."""

MAX_SAMPLES = 32
MIN_GAP_S = 0.0005
"""Shorter gaps are ignored: such events were sent as a batch."""
BASELINE_DOUBLING_S = 600.0
"""Time in which the baseline may double. It limits how long an outlier lowers the
baseline, and is long so that sustained load does not raise it."""
MAX_SLOWDOWN = 20.0


class EventGapBaselines:
    """Baseline of the time between events, by model.

    The baseline is the lower quartile of recent gaps, limited to slow growth from
    its previous value: load only lengthens gaps.
    """

    def __init__(self):
        self._baselines = {}
        self._baselines_set_at = {}
        self._recent_gaps = {}

    def record(self, model, gap_s, now):
        """Add a gap in seconds; return its ratio to the baseline, at least 1."""
        if gap_s < MIN_GAP_S:
            return 1.0
        recent_gaps = self._recent_gaps.setdefault(model, [])
        recent_gaps.append(gap_s)
        del recent_gaps[:-MAX_SAMPLES]
        baseline = min(
            _compute_lower_quartile(recent_gaps), self._grow_baseline(model, now)
        )
        self._baselines[model] = baseline
        self._baselines_set_at[model] = now
        return min(MAX_SLOWDOWN, max(1.0, gap_s / baseline))

    def get_baseline(self, model):
        """Return the baseline of *model* in seconds, or 0 if it has no samples."""
        return self._baselines.get(model, 0.0)

    def _grow_baseline(self, model, now):
        """Return the highest baseline that *model* may have at *now*."""
        previous = self._baselines.get(model)
        if previous is None:
            return float("inf")
        return previous * 2.0 ** (
            (now - self._baselines_set_at[model]) / BASELINE_DOUBLING_S
        )


def _compute_lower_quartile(gaps):
    return sorted(gaps)[len(gaps) // 4]

"""Estimated prefill time that is queued at an engine."""

MAX_BACKLOG_MS = 30_000.0


class PrefillBacklog:
    """Queued prefill time in milliseconds, which decreases in real time.

    Instances report the prompts that they send, so each can compute the same
    estimate; completions need no report. A lost report makes the estimate too low
    until the prefill of its prompt would have ended.
    """

    def __init__(self):
        self._remaining_ms = 0.0
        self._updated_at = 0.0

    def record(self, prefill_ms, now):
        """Add a prompt whose prefill takes *prefill_ms*."""
        self._remaining_ms = min(MAX_BACKLOG_MS, self.measure(now) + prefill_ms)
        self._updated_at = now

    def measure(self, now):
        """Return the remaining prefill time in milliseconds."""
        return max(0.0, self._remaining_ms - max(0.0, now - self._updated_at) * 1000.0)

"""Detection of times in which the process did not run."""

from .._limits import BEAT_INTERVAL_S

MIN_STALL_S = 0.25
"""Shorter delays are those of a busy process, which reads messages soon after they
arrive."""


class StallMonitor:
    """Measures for how long the process was stopped, as by a freeze of its machine.

    What it reads right after a stall may have waited in a buffer for as long.
    """

    def __init__(self):
        self._due_at = None
        self._total_s = 0.0

    def record_beat(self, now):
        """Record that the timer has fired; the next beat is due after the interval."""
        self._total_s += self.measure_current_s(now)
        self._due_at = now + BEAT_INTERVAL_S

    def measure_current_s(self, now):
        """Return the seconds of a stall that ended just before *now*, 0 without one."""
        late_s = 0.0 if self._due_at is None else now - self._due_at
        return late_s if late_s >= MIN_STALL_S else 0.0

    def measure_total_s(self, now):
        """Return the seconds of all stalls until *now*."""
        return self._total_s + self.measure_current_s(now)

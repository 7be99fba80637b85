"""Detection of times in which the process did not run."""

import eventlet

BEAT_INTERVAL_S = 0.1
MIN_STALL_S = 0.25
"""Shorter delays are those of a busy process, which reads messages soon after they
arrive."""


class StallMonitor:
    """Measures for how long the process was stopped, as by a freeze of its machine.

    What it reads right after a stall may have waited in a buffer for as long.
    """

    def __init__(self, read_clock):
        self._read_clock = read_clock
        self._due_at = None
        self._total_s = 0.0

    def run(self):
        """Record beats until the process ends."""
        while True:
            self.record_beat(self._read_clock())
            eventlet.sleep(BEAT_INTERVAL_S)

    def record_beat(self, now):
        """Record that the process ran at *now*."""
        self._total_s += self.measure_current_s(now)
        self._due_at = now + BEAT_INTERVAL_S

    def measure_current_s(self, now):
        """Return the seconds of a stall that ended just before *now*, 0 without one."""
        late_s = 0.0 if self._due_at is None else now - self._due_at
        return late_s if late_s >= MIN_STALL_S else 0.0

    def measure_total_s(self, now):
        """Return the seconds of all stalls until *now*."""
        return self._total_s + self.measure_current_s(now)

"""Bad answers of a rollout's target, including those of processes that have ended.

Counters end with their process, and a process that starts later never receives those of
one that has ended meanwhile. The total is therefore kept in the store as a checkpoint.
Each process reports how many bad answers it has counted since, and adds up the reports
of others on the same checkpoint.
"""


class BadAnswerTotal:
    """The number of bad answers for one order, as far as this process knows."""

    def __init__(self):
        self.checkpoint = 0
        self._included = 0
        self._last_reported = 0
        self._increments = {}

    def advance(self, checkpoint):
        """Count from *checkpoint* if it is later than the known one."""
        if checkpoint > self.checkpoint:
            self.checkpoint = checkpoint
            # Its writer knew what this process had reported by then.
            self._included = self._last_reported
            self._increments.clear()

    def make_report(self, counted):
        """Return the increment to report, given what this process has *counted*."""
        self._last_reported = counted
        return counted - self._included

    def record_report(self, incarnation, checkpoint, increment):
        """Record what process *incarnation* counted since *checkpoint*."""
        self.advance(checkpoint)
        if checkpoint == self.checkpoint:
            known = self._increments.get(incarnation, 0)
            self._increments[incarnation] = max(known, increment)

    def sum(self, counted):
        """Return the total, given the bad answers that this process *counted*."""
        others = sum(self._increments.values())
        return self.checkpoint + others + counted - self._included

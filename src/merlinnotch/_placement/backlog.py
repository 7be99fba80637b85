"""Prompts that an engine still has to read, as time."""

MOST_MS = 30_000.0


class Backlog:
    """A queue that is worked off at one millisecond a millisecond.

    Every instance keeps the same estimate by telling the others what it sends;
    nobody has to tell when something is done. A message that is lost makes the
    estimate a little too low for as long as its prompt takes to read.
    """

    def __init__(self):
        self._ms = 0.0
        self._at = 0.0

    def note(self, reading_ms, now):
        """Add a prompt that takes *reading_ms* to read."""
        self._ms = min(MOST_MS, self.measure(now) + reading_ms)
        self._at = now

    def measure(self, now):
        """Return how many milliseconds of reading are left."""
        return max(0.0, self._ms - max(0.0, now - self._at) * 1000.0)

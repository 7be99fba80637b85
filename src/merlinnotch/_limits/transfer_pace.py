"""Telling slow callers from those on slow links."""

MIN_BYTES_PER_S = 16384
"""Rate of callers that share the slowest link with many others."""
SLOW_LINK_BYTES_PER_S = 1.25e6
"""What the slowest link of an instance carries."""
MAX_PAUSE_S = 1.0
"""Longest pause of a sound caller."""
MAX_STEP_S = 0.5
"""Longest wait that counts as one. This process may stand still for seconds within a
wait, which must not be held against the other side."""


class TransferPace:
    """Measures how fast the other side of a connection sends or reads a message.

    Only the time counts in which this process waits for it, in steps of MAX_STEP_S at
    most. The other side may pause for *pause_s* seconds, in all and at a time, beyond
    what its bytes take at MIN_BYTES_PER_S.
    """

    def __init__(self, pause_s):
        self._pause_s = pause_s
        self.reset()

    def reset(self):
        """Begin with the next message."""
        self._silent_s = 0.0
        self._bytes = 0
        self.waited_s = 0.0

    def record_wait(self, duration_s):
        """Count a wait for the other side."""
        step_s = min(duration_s, MAX_STEP_S)
        self.waited_s += step_s
        self._silent_s += step_s

    def record_bytes(self, size):
        """Count *size* bytes that the other side sent or accepted."""
        self._silent_s = 0.0
        self._bytes += size

    @property
    def is_behind(self):
        """Whether the transfer takes longer than on the slowest link, with a pause."""
        return self.waited_s >= MAX_PAUSE_S + self._bytes / SLOW_LINK_BYTES_PER_S

    @property
    def is_too_slow(self):
        """Whether the transfer may be ended, as no sound caller is as slow."""
        if self._silent_s >= self._pause_s:
            return True
        return self.waited_s >= self._pause_s + self._bytes / MIN_BYTES_PER_S

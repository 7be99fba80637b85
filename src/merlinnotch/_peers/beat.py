"""Heartbeats."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Beat:
    """An instance's heartbeat: *count* goes up while it lives.

    *revision* is the one in force there and *stale_ds* the age of its proof
    that it is the newest, in tenths of a second, or -1 for none.
    """

    incarnation: int
    count: int
    revision: int
    stale_ds: int

    @property
    def order(self):
        """Later beats have a larger order."""
        return (self.incarnation, self.count)

"""Quarantined versions."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Quarantine:
    """A version was found bad. *revision* was in force when it was.

    It holds until an operator's later revision declares the version anew.
    """

    revision: int
    reason: str
    at: float

    @property
    def order(self):
        """A quarantine under a later revision has a larger order."""
        return (self.revision, self.at)

"""Properties of an instance that are known to its peers."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Member:
    """Properties that an instance publishes about itself and that rarely change.

    *incarnation* is its start time in Unix milliseconds. It distinguishes a
    restarted instance from its predecessor.
    """

    incarnation: int
    zone: str
    address: str
    leaving: bool

    @property
    def order(self):
        """Sort key; a restarted or leaving instance has a greater one than before."""
        return (self.incarnation, self.leaving)

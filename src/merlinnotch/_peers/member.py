"""One instance, as the others know it."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Member:
    """What an instance says of itself that hardly changes.

    *incarnation* is its start time in milliseconds since the epoch and tells
    a restarted instance from its predecessor.
    """

    incarnation: int
    zone: str
    address: str
    leaving: bool

    @property
    def order(self):
        """Newer words about an instance have a larger order."""
        return (self.incarnation, self.leaving)

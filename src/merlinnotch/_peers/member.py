"""One instance, as the others know it."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Member:
    """An instance's word about itself.

    *incarnation* is its start time in milliseconds since the epoch and tells
    a restarted instance from its predecessor; *heartbeat* counts up while it
    lives; *stale_s* is the age of its proof of the newest revision.
    """

    instance: str
    incarnation: int
    heartbeat: int
    zone: str
    address: str
    revision: int
    stale_s: float
    leaving: bool

    @property
    def order(self):
        """Newer words about an instance have a larger order."""
        return (self.incarnation, self.heartbeat)

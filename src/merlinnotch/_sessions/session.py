"""The contents of a session token."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Session:
    """A session of a team, with the versions pinned for it.

    Each pin is a ``model@version``. One version serves all kinds of request that its
    model supports; another one is pinned only for kinds that it doesn't support.
    """

    id: str
    team: str
    pins: tuple[str, ...]

    def get_pin(self, models):
        """Return the pinned ``model@version`` of one of *models*, or None."""
        return next((pin for pin in self.pins if pin.partition("@")[0] in models), None)

    def pin(self, version_id):
        """Return the session with *version_id* pinned as well."""
        if version_id in self.pins:
            return self
        return Session(self.id, self.team, (*self.pins, version_id))

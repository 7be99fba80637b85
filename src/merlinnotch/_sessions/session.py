"""What a session token says."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Session:
    """One session of a team; *pins* has the versions that answer it.

    A session has one version for all kinds of request that the version's
    model serves, and a second one only for kinds that it does not.
    """

    id: str
    team: str
    pins: tuple[str, ...]

    def get_pin(self, models):
        """Return the ``model@version`` in use among *models*, or None."""
        return next((p for p in self.pins if p.partition("@")[0] in models), None)

    def pin(self, version_id):
        """Return the session with *version_id* pinned as well."""
        if version_id in self.pins:
            return self
        return Session(self.id, self.team, (*self.pins, version_id))

"""Versions of a model."""

from dataclasses import dataclass

from .state import VersionState


@dataclass(frozen=True)
class Version:
    """One version of a model.

    *share* is the part of new work, from 0 to 1, that a rolling-out version
    takes. *serve_when_stale* says whether it takes new work on an instance
    that has no recent proof of the newest revision. Quarantines made under
    *cleared_revision* or earlier no longer count.
    """

    model: str
    name: str
    state: VersionState
    share: float
    serve_when_stale: bool
    cleared_revision: int = 0

    @property
    def id(self):
        """The ``model@version`` form."""
        return f"{self.model}@{self.name}"

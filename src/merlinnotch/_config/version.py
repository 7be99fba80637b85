"""Versions of a model."""

from dataclasses import dataclass

from .state import VersionState


@dataclass(frozen=True)
class Version:
    """One version of a model.

    *share* is the fraction of new requests that a version gets while it is rolling
    out. *serve_when_stale* is whether it gets new requests from an instance whose
    revision is not fresh. Quarantines that were set under *cleared_revision* or an
    earlier revision are ignored.
    """

    model: str
    name: str
    state: VersionState
    share: float
    serve_when_stale: bool
    cleared_revision: int = 0

    @property
    def id(self):
        """The id in the form ``model@version``."""
        return f"{self.model}@{self.name}"

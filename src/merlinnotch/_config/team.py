"""Teams: who may call."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Team:
    """One team and what it may use.

    *allow* names models, versions (``model@version``) and services; *weight*
    is its share under load, relative to the other teams.
    """

    name: str
    key_sha256: str
    weight: float
    allow: frozenset[str]
    may_pin: bool

    def allows(self, model, version=None):
        """Return whether the team may use the model, or that version of it."""
        if model in self.allow:
            return True
        return version is not None and f"{model}@{version}" in self.allow

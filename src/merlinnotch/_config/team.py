"""Teams of callers."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Team:
    """One team of callers and its permissions.

    *key_sha256* is the hash of its bearer token in hexadecimal. *allow* contains
    names of models, versions (``model@version``) and services. *weight* is the
    team's share of capacity under load, relative to other teams.
    """

    name: str
    key_sha256: str
    weight: float
    allow: frozenset[str]
    may_pin: bool

    def allows(self, model, version=None):
        """Return whether the team may use the model or the given version of it."""
        if model in self.allow:
            return True
        return version is not None and f"{model}@{version}" in self.allow

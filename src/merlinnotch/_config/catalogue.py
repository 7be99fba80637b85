"""Content of a configuration revision."""

import functools
import hashlib
from dataclasses import dataclass

from .kind import Kind
from .model import Model
from .pool import Pool
from .service import Service
from .team import Team
from .tuning import Tuning


@dataclass(frozen=True)
class Catalogue:
    """The validated configuration, with its entries by name."""

    teams: dict[str, Team]
    models: dict[str, Model]
    kinds: dict[str, Kind]
    services: dict[str, Service]
    pools: dict[str, Pool]
    tuning: Tuning

    @functools.cached_property
    def _teams_by_key(self):
        return {team.key_sha256: team for team in self.teams.values()}

    def find_team(self, key):
        """Return the team with the bearer token *key*, or None."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        return self._teams_by_key.get(digest)

    def get_version(self, version_id):
        """Return the :class:`Version` with a ``model@version`` id, or None."""
        model_name, _, version_name = version_id.partition("@")
        model = self.models.get(model_name)
        return model.get_version(version_name) if model else None

"""Models and their costs."""

from dataclasses import dataclass

from .version import Version


@dataclass(frozen=True)
class Model:
    """One model, whose versions run on the upstreams of one pool.

    *cost_per_1k_tokens* is in the operator's currency. *expected_quality*, from 0 to
    1, is assumed until there are ratings.
    """

    name: str
    pool: str
    cost_per_1k_tokens: float
    expected_quality: float
    versions: tuple[Version, ...]

    def get_version(self, name):
        """Return the version with *name*, or None."""
        return next(
            (version for version in self.versions if version.name == name), None
        )

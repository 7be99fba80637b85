"""Models: families of versions with one cost."""

from dataclasses import dataclass

from .version import Version


@dataclass(frozen=True)
class Model:
    """One model. *cost_per_1k_tokens* is in the operator's currency.

    *expected_quality*, from 0 to 1, is what is assumed before any rating.
    """

    name: str
    pool: str
    cost_per_1k_tokens: float
    expected_quality: float
    versions: tuple[Version, ...]

    def get_version(self, name):
        """Return the version called *name*, or None."""
        return next((v for v in self.versions if v.name == name), None)

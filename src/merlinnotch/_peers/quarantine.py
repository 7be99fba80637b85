"""Quarantined versions."""

import json
from dataclasses import asdict, dataclass

MAX_FIGURE = 2**53
"""Larger figures aren't exact as floats. Comparisons with it exclude NaN too."""


@dataclass(frozen=True)
class Quarantine:
    """The quarantine of a faulty version.

    *revision* was in force when the fault was found, at *at* in seconds since the
    epoch. It applies until an operator raises the version's *cleared_revision*
    to it.
    """

    revision: int
    reason: str
    at: float

    @property
    def order(self):
        """Sort key; greater for a later revision, then for a later time."""
        return (self.revision, self.at)

    @property
    def is_valid(self):
        """Whether the fields have their types and can be compared with others."""
        figures = (self.revision, self.at)
        are_numbers = all(
            type(figure) in (int, float) and abs(figure) <= MAX_FIGURE
            for figure in figures
        )
        return are_numbers and isinstance(self.reason, str)

    def is_in_force(self, version):
        """Return whether it applies to *version*, None for an undeclared one."""
        cleared_revision = version.cleared_revision if version else 0
        return self.revision > cleared_revision

    def encode(self):
        """Return the JSON bytes for the store."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, data):
        """Return the quarantine encoded in *data*; raises ValueError if it has none."""
        try:
            quarantine = cls(**json.loads(data))
        except (TypeError, RecursionError) as error:
            raise ValueError(str(error)) from error
        if not quarantine.is_valid:
            raise ValueError("fields of a quarantine have other types")
        return quarantine

"""Quarantined versions."""

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True)
class Quarantine:
    """A version was found bad. *revision* was in force when it was.

    It holds until an operator's later revision declares the version anew.
    """

    revision: int
    reason: str
    at: float

    @property
    def order(self):
        """A quarantine under a later revision has a larger order."""
        return (self.revision, self.at)

    def is_in_force(self, version):
        """Whether it holds for *version*, None for one that is not declared."""
        cleared = version.cleared_revision if version else 0
        return self.revision > cleared

    def encode(self):
        """Return the bytes kept in the store."""
        return json.dumps(asdict(self)).encode()

    @classmethod
    def decode(cls, data):
        """Return the quarantine in *data*."""
        return cls(**json.loads(data))

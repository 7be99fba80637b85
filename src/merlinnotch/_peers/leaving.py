"""Notices that an upstream is leaving."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Leaving:
    """An upstream said that it leaves. *at* is in seconds since the epoch."""

    at: float

    @property
    def order(self):
        """A later notice has a larger order."""
        return self.at

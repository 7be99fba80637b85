"""Notices that an upstream is leaving."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Leaving:
    """A notice by an upstream that it is leaving.

    *at* is the time of the notice in seconds since the epoch.
    """

    at: float

    @property
    def order(self):
        """Sort key; later notices have a greater one."""
        return self.at

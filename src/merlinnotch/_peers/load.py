"""Load reports of upstreams."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LoadReport:
    """What an upstream said of its load. *at* is in seconds since the epoch."""

    at: float
    running: int
    waiting: int
    slots: int
    versions: tuple[str, ...]

    @property
    def order(self):
        """A later report has a larger order."""
        return self.at

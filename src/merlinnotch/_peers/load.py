"""Load reports of upstreams."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LoadReport:
    """What an upstream said of its load. *at_ms* is since the epoch."""

    at_ms: int
    running: int
    waiting: int
    slots: int

    @property
    def order(self):
        """A later report has a larger order."""
        return self.at_ms

    def says_the_same(self, other):
        """Whether only the time differs."""
        return other is not None and (
            (self.running, self.waiting, self.slots)
            == (other.running, other.waiting, other.slots)
        )


@dataclass(frozen=True)
class LoadedVersions:
    """The versions that an upstream has loaded. *at_ms* is since the epoch."""

    at_ms: int
    versions: tuple[str, ...]

    @property
    def order(self):
        """A later word has a larger order."""
        return self.at_ms

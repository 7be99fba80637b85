"""Load reports of upstreams."""

from dataclasses import dataclass


@dataclass(frozen=True)
class LoadReport:
    """The load that an upstream reported at *at_ms*, in Unix milliseconds."""

    at_ms: int
    running: int
    waiting: int
    slots: int

    @property
    def order(self):
        """Sort key; later reports have a greater one."""
        return self.at_ms

    def has_same_load(self, other):
        """Return whether *other* is a report of the same load, at any time."""
        return other is not None and (
            (self.running, self.waiting, self.slots)
            == (other.running, other.waiting, other.slots)
        )


@dataclass(frozen=True)
class LoadedVersions:
    """The versions that an upstream had loaded at *at_ms*, in Unix milliseconds."""

    at_ms: int
    versions: tuple[str, ...]

    @property
    def order(self):
        """Sort key; later reports have a greater one."""
        return self.at_ms

"""Whole zones, as other zones know them."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ZoneView:
    """The live instances of a zone, told to other zones by one of them.

    *at_ms* is since the epoch, on the clock of whoever tells.
    """

    at_ms: int
    live: tuple[str, ...]

    @property
    def order(self):
        """A later view has a larger order."""
        return self.at_ms

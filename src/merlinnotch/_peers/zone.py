"""Views of zones that are published to other zones."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ZoneView:
    """The live instances of a zone, published to other zones by one of them.

    *at_ms* is in Unix milliseconds by the publisher's clock.
    """

    at_ms: int
    live: tuple[str, ...]

    @property
    def order(self):
        """Sort key; later views have a greater one."""
        return self.at_ms

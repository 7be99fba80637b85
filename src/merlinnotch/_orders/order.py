"""Orders."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Order:
    """Tells an upstream which versions to have loaded, in sorted order."""

    upstream: str
    versions: tuple[str, ...]

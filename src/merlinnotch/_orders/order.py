"""The order that is sent to an upstream."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Order:
    """The sorted ids of the versions that an upstream must have loaded.

    *upstream* is the id of the upstream.
    """

    upstream: str
    versions: tuple[str, ...]

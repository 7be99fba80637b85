"""Pools of upstreams."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Pool:
    """A group of interchangeable upstreams.

    If *manage_versions* is true, merlinnotch decides which versions they load.
    """

    name: str
    manage_versions: bool

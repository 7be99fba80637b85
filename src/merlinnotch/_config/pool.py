"""Pools of upstreams."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Pool:
    """Upstreams of one sort; *manage_versions* has us order what they load."""

    name: str
    manage_versions: bool

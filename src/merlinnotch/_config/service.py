"""Plain services."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Service:
    """One plain service; calls with *idempotent_methods* may be repeated."""

    name: str
    pool: str
    idempotent_methods: frozenset[str]
    deadline_ms: int
    cost_per_call: float

"""Services without models."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Service:
    """One service without models.

    Requests with *idempotent_methods* may be retried. *deadline_ms* is the default
    deadline in milliseconds.
    """

    name: str
    pool: str
    idempotent_methods: frozenset[str]
    deadline_ms: int
    cost_per_call: float

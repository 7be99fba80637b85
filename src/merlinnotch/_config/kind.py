"""Kinds of request."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Kind:
    """One kind of request that callers name as their model.

    *quality_target* is from 0 to 1, *deadline_ms* the default deadline in
    milliseconds, *explore* the part of requests used to learn about plans.
    """

    name: str
    quality_target: float
    models: tuple[str, ...]
    deadline_ms: int
    idempotent: bool
    priority: int
    explore: float

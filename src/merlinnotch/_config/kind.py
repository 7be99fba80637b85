"""Kinds of request."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Kind:
    """One kind of request, which callers name in place of a model.

    *models* are the models that may serve it. *quality_target* is from 0 to 1,
    *deadline_ms* the default deadline in milliseconds. *explore* is the fraction of
    requests that are used to try other plans.
    """

    name: str
    quality_target: float
    models: tuple[str, ...]
    deadline_ms: int
    idempotent: bool
    priority: int
    explore: float

"""Queries: asking where a request stands."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Query:
    """Asks whether the request was claimed or billed. Never logged."""

    key: bytes

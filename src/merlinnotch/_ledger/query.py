"""Queries for the status of a request."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Query:
    """Asks whether a request has been claimed or billed; not written to the log."""

    key: bytes

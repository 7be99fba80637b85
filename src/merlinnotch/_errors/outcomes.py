"""Outcomes of requests."""

import enum


class Outcome(enum.StrEnum):
    """What is known about a request when its caller is answered.

    Covers all attempts of the request. ``NOT_RUN`` is certain; ``UNKNOWN`` means that
    an upstream may have run it.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"

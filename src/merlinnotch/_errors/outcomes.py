"""What is known of a request when its caller is answered."""

import enum


class Outcome(enum.StrEnum):
    """State of the request, as opposed to that of one attempt at it."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"

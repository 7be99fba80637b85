"""Where a limit was learned from."""

import enum


class LimitSource(enum.StrEnum):
    """Where an instance learned an upstream's limit."""

    ANSWER = "answer"
    PEER = "peer"

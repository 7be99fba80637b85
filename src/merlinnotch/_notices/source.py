"""Where a notice was learned from."""

import enum


class NoticeSource(enum.StrEnum):
    """Where an instance learned that an upstream is leaving."""

    STORE = "store"
    ANSWER = "answer"
    PEER = "peer"

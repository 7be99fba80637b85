"""How far exchanges with a peer have come."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Progress:
    """What one peer was sent and what it has sent, by sequence numbers.

    *incarnation* is the peer's; a new one has none of what the old one had.
    *zone* is the peer's, "" before the first exchange.
    """

    incarnation: int = 0
    zone: str = ""
    sent_words: int = 0
    sent_beats: int = 0
    seen_words: int = 0
    seen_beats: int = 0

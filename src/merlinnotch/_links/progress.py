"""Progress of the gossip exchanges with a peer."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ExchangeProgress:
    """Sequence numbers up to which a peer's and this instance's changes were exchanged.

    *sent_changes* and *sent_heartbeats* are numbers of this instance, *seen_changes*
    and *seen_heartbeats* those of the peer. *incarnation* and *zone* are the peer's, 0
    and "" before the first exchange. A new incarnation starts without any state.
    """

    incarnation: int = 0
    zone: str = ""
    sent_changes: int = 0
    sent_heartbeats: int = 0
    seen_changes: int = 0
    seen_heartbeats: int = 0

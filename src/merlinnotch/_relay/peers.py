"""Selection of the peer that relays a request."""

from dataclasses import dataclass

ANSWER_TTL_S = 1.0
"""How long an answer of a peer counts as fresh."""
STALE_ANSWER_TTL_S = 3.0
"""How long an answer is used if there are no fresh ones."""
FAILURE_PAUSE_S = 1.0
"""How long a peer that failed to relay is used only if there are no others."""
CROSS_ZONE_COST = 4
"""Requests in progress that a peer of the own zone may have more than another one. It
saves a round trip between zones and their traffic."""


@dataclass(frozen=True)
class RelayPeer:
    """A peer that relays, as it said at *answered_at*, on the boot clock.

    *in_flight* counts its requests in progress.
    """

    name: str
    zone: str
    address: str
    services: frozenset[str]
    in_flight: int
    answered_at: float


class RelayPeers:
    """The peers that have answered lately, and the requests sent to each since.

    Of two random peers, one of the own zone if there is one, the less loaded is chosen:
    instances that all chose the least loaded one would overload it.
    """

    def __init__(self, zone, generator):
        self._zone = zone
        self._generator = generator
        self._peers = {}
        self._sent_counts = {}
        self._failed_at = {}

    def record_answer(self, peer):
        """Store the latest answer of a peer, a :class:`RelayPeer`."""
        self._peers[peer.name] = peer
        self._sent_counts[peer.name] = 0

    def record_failure(self, name, now):
        """Record that the peer *name* could not relay a request."""
        self._failed_at[name] = now

    def is_alive(self, name, now):
        """Return whether the peer *name* has answered within ANSWER_TTL_S."""
        peer = self._peers.get(name)
        return peer is not None and now - peer.answered_at <= ANSWER_TTL_S

    def choose(self, service, excluded_names, now):
        """Return a :class:`RelayPeer` that reaches *service*, or None."""
        self._drop_old(now)
        candidates = [
            peer
            for peer in self._peers.values()
            if service in peer.services and peer.name not in excluded_names
        ]
        if not candidates:
            return None
        sound = [peer for peer in candidates if peer.name not in self._failed_at]
        fresh = [peer for peer in sound if self.is_alive(peer.name, now)]
        pair = self._sample_pair(fresh or sound or candidates)
        chosen = min(pair, key=self._get_cost)
        self._sent_counts[chosen.name] += 1
        return chosen

    def _sample_pair(self, candidates):
        near = [peer for peer in candidates if peer.zone == self._zone]
        far = [peer for peer in candidates if peer.zone != self._zone]
        if near and far:
            return [self._generator.choice(near), self._generator.choice(far)]
        return self._generator.sample(candidates, min(2, len(candidates)))

    def _get_cost(self, peer):
        cost = peer.in_flight + self._sent_counts[peer.name]
        return cost if peer.zone == self._zone else cost + CROSS_ZONE_COST

    def _drop_old(self, now):
        for name, peer in list(self._peers.items()):
            if now - peer.answered_at > STALE_ANSWER_TTL_S:
                del self._peers[name]
                del self._sent_counts[name]
        for name, failed_at in list(self._failed_at.items()):
            if now - failed_at > FAILURE_PAUSE_S:
                del self._failed_at[name]

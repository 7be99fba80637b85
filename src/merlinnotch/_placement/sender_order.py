"""The order in which instances may send to an upstream of which little is known."""

import math

from .._rendezvous_hashing import rank_names

REFRESH_INTERVAL_S = 0.5
"""How long a rank is used before the known peers are compared again."""


class SenderOrder:
    """Ranks this instance among the known senders of each start.

    Instances of the upstream's zone come first, each zone in the order of a rendezvous
    hash, so that instances that know the same peers agree without a message. *view* is
    the fleet view.
    """

    def __init__(self, name, zone, view):
        self._name = name
        self._zone = zone
        self._view = view
        self._ranks = {}

    def get_rank(self, upstream, now):
        """Return how many instances come before this one for *upstream*."""
        names, rank, checked_at = self._ranks.get(upstream.start, (None, 0, -math.inf))
        if now - checked_at < REFRESH_INTERVAL_S:
            return rank
        directory = self._view.peer_directory
        zones = {peer.zone for peer in directory.peers_by_name.values()}
        names_by_zone = {
            zone: {peer.name for peer in directory.list_recent(zone, now)}
            for zone in zones | {self._zone}
        }
        names_by_zone[self._zone].add(self._name)
        # Comparing names is cheaper than ranking them again.
        if names != names_by_zone:
            rank = self._rank(upstream, names_by_zone)
        self._ranks[upstream.start] = (names_by_zone, rank, now)
        return rank

    def has_peers(self):
        """Return whether another instance is known."""
        return bool(self._view.peer_directory.peers_by_name.keys() - {self._name})

    def drop(self, start):
        """Drop a removed start, an :class:`UpstreamStart`."""
        self._ranks.pop(start, None)

    def _rank(self, upstream, names_by_zone):
        own_names = names_by_zone[self._zone]
        rank = rank_names(upstream.id, own_names).index(self._name)
        if upstream.zone == self._zone:
            return rank
        first_names = names_by_zone.get(upstream.zone, ())
        other_names = set().union(
            *(n for zone, n in names_by_zone.items() if zone != upstream.zone)
        )
        return len(first_names) + rank_names(upstream.id, other_names).index(self._name)

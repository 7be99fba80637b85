"""Ranking of the present instances by which they share duties."""

from .._rendezvous_hashing import rank_names


class InstanceRanking:
    """Rendezvous ranking of the present instances by a key.

    Instances that know the same peers compute the same ranking, without an election:
    the first one acts, and the others take over in turn if it doesn't.
    """

    def __init__(self, name, view):
        self._name = name
        self._view = view
        self._cached_rankings = {}

    def rank(self, key):
        """Return the names of all instances, ordered by their rank for *key*."""
        names = {p.name for p in self._view.list_present_peers()} | {self._name}
        known_names, ranked = self._cached_rankings.get(key, (None, None))
        # The cached ranking is reused, as comparing names is cheaper than hashing them.
        if names != known_names:
            ranked = rank_names(key, names)
            self._cached_rankings[key] = (names, ranked)
        return ranked

    def find_addresses(self, names):
        """Return the peer addresses of *names*, without this instance's own."""
        peers = self._view.peers
        return [peers[n].address for n in names if n in peers and n != self._name]

"""Selection of the instance that issues an upstream's permits."""

from .._rendezvous_hashing import get_highest_ranked

CONNECTED_SHARE = 0.95
"""Share of a limit that an issuer uses whose view of the fleet is current."""
DISCONNECTED_SHARE = 0.4
"""Share of a limit that an issuer uses without the store. Its lease may end meanwhile
and another instance become the issuer; both together stay within 1.5 times the
limit."""


class IssuerDirectory:
    """Tells which instance issues the permits of an upstream.

    It is the highest-ranked one of :func:`list_candidates`. Instances count while they
    hold a lease in the store. *peer_directory* lists them.
    """

    def __init__(self, peer_directory):
        self._peer_directory = peer_directory
        self._issuers = {}

    def find(self, upstream):
        """Return the name of the issuer for *upstream*, None if no instance is known.

        All instances with the same view find the same one.
        """
        names = self._list_candidates(upstream)
        # Comparing the names of a large zone is cheaper than ranking them again.
        known_names, issuer = self._issuers.get(upstream.start, (None, None))
        if names != known_names:
            issuer = get_highest_ranked(upstream.id, names)
            self._issuers[upstream.start] = (names, issuer)
        return issuer

    def find_without(self, upstream, name):
        """Return the issuer that *upstream* would have without the instance *name*."""
        names = self._list_candidates(upstream) - {name}
        return get_highest_ranked(upstream.id, names)

    def _list_candidates(self, upstream):
        peers = {peer.name: peer for peer in self._peer_directory.list_present()}
        return list_candidates(peers, upstream.zone)

    def drop(self, start):
        """Drop a start that has ended."""
        self._issuers.pop(start, None)


def list_candidates(members, zone):
    """Return the names of the instances that may issue permits for *zone*.

    They are those of the zone, so that a zone that is cut off goes on with its own
    upstreams, or all if it has none. *members* maps names to objects with a *zone*.
    """
    names = {name for name, member in members.items() if member.zone == zone}
    return names or set(members)


def compute_issue_rate(limit_per_s, is_connected):
    """Return the permits per second that an issuer may issue under a limit."""
    share = CONNECTED_SHARE if is_connected else DISCONNECTED_SHARE
    return share * limit_per_s

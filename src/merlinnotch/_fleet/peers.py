"""The other instances, as announced in the store."""

import collections

ABSENT_PEER_TTL_S = 30.0
"""Equals the lease time, within which a running instance announces itself again."""
KNOWN_PEER_TTL_S = 600.0
"""An instance that is absent for longer is taken to be gone, and not cut off."""


class PeerDirectory:
    """The other instances by name, and which of them hold a lease.

    The address of an absent instance stays in *peers_by_name* until it is
    replaced; an outdated one costs only a failed call. *on_announced* is called with
    each :class:`PeerAddress` that is announced, also again after a restart.
    """

    def __init__(self):
        self.on_announced = lambda peer: None
        self.peers_by_name = {}
        self._present = set()
        self._absent = collections.OrderedDict()

    def mark_present(self, peer):
        """Record a :class:`PeerAddress` as announced."""
        self.peers_by_name[peer.name] = peer
        self._present.add(peer.name)
        self._absent.pop(peer.name, None)
        self.on_announced(peer)

    def mark_absent(self, name, now):
        """Record that the lease of *name* ended at *now*."""
        self._present.discard(name)
        self._absent[name] = now
        self._absent.move_to_end(name)

    def list_present(self):
        """Return the peers that hold a lease."""
        return [self.peers_by_name[name] for name in self._present]

    def list_known_names(self, now):
        """Return the names of the peers that are present or may be cut off."""
        self._forget_absent(now)
        return self._present | self._absent.keys()

    def list_recent(self, zone, now):
        """Return the peers of *zone* that hold a lease or recently did.

        Peers whose leases expire during a store outage go on working and
        announce themselves again after it.
        """
        self._forget_absent(now)
        recent = {
            name
            for name, since in self._absent.items()
            if now - since < ABSENT_PEER_TTL_S
        }
        return [
            self.peers_by_name[name]
            for name in self._present | recent
            if self.peers_by_name[name].zone == zone
        ]

    def _forget_absent(self, now):
        while self._absent:
            name, since = next(iter(self._absent.items()))
            if now - since < KNOWN_PEER_TTL_S:
                return
            del self._absent[name]

"""Which other instances there are."""

ABSENT_KEEP_S = 30.0
"""As long as a lease, within which an instance that lives announces itself again."""


class PeerBook:
    """Instances by name: all that were heard of, and whose leases stand.

    The address of one that is absent stays in *known*: it is only ever replaced, and a
    wrong one costs a failed call.
    """

    def __init__(self):
        self.known = {}
        self._present = set()
        self._absent = {}

    def note(self, peer):
        """Take that a :class:`PeerAddress` is announced."""
        self.known[peer.name] = peer
        self._present.add(peer.name)
        self._absent.pop(peer.name, None)

    def lose(self, name, now):
        """Take that the lease of *name* has ended."""
        self._present.discard(name)
        self._absent[name] = now

    def list_present(self):
        """Return the peers whose leases stand, as far as is known."""
        return [self.known[name] for name in self._present]

    def list_recent(self, zone, now):
        """Return the peers of *zone* that are present, or were a short time ago.

        Those whose leases ran out in an outage of the store announce themselves
        again after it; until then they do what they did.
        """
        for name, since in list(self._absent.items()):
            if now - since >= ABSENT_KEEP_S:
                del self._absent[name]
        names = self._present | self._absent.keys()
        return [self.known[name] for name in names if self.known[name].zone == zone]

"""Requests and prompt parts that are temporarily blocked from upstreams."""

BLOCK_S = 600.0
"""Duration of a block. After it the request is sent again, as the upstreams may have
been fixed. One more crash then blocks it again."""


class BlockList:
    """Fingerprints of blocked requests and parts, and when each block expires.

    *on_added* is called with each fingerprint that is added.
    """

    def __init__(self):
        self.on_added = lambda fingerprint: None
        self._blocked_until = {}
        self._stored = set()
        self._lost = set()

    def __len__(self):
        return len(self._blocked_until)

    def __contains__(self, fingerprint):
        return fingerprint in self._blocked_until

    def add(self, fingerprint, now):
        """Block a fingerprint from *now* on; return False if it is blocked already."""
        if fingerprint in self._blocked_until:
            return False
        self._blocked_until[fingerprint] = now + BLOCK_S
        self.on_added(fingerprint)
        return True

    def renew(self, fingerprint, now):
        """Let the block of a fingerprint that is blocked begin at *now*."""
        self._blocked_until[fingerprint] = now + BLOCK_S

    def remove(self, fingerprint):
        """Unblock a fingerprint."""
        self._blocked_until.pop(fingerprint, None)
        self._stored.discard(fingerprint)
        self._lost.discard(fingerprint)

    def mark_stored(self, fingerprint):
        """Record that the store contains the block."""
        self._stored.add(fingerprint)
        self._lost.discard(fingerprint)

    def mark_lost(self, fingerprint):
        """Record that the store has lost the block, which stays in force."""
        self._stored.discard(fingerprint)
        self._lost.add(fingerprint)

    def pop_lost(self):
        """Return the fingerprints of blocks to write again, each of them once."""
        lost, self._lost = self._lost, set()
        return lost

    def is_stored(self, fingerprint):
        """Return whether the block is stored, so that new instances apply it."""
        return fingerprint in self._stored

    def list_unstored(self, now):
        """Return the fingerprints in force whose block isn't known to be stored."""
        return [
            fingerprint
            for fingerprint, blocked_until in self._blocked_until.items()
            if now < blocked_until and fingerprint not in self._stored
        ]

    def get_remaining_s(self, fingerprint, now):
        """Return how many seconds a block lasts from *now* on, 0 without one."""
        return max(0.0, self._blocked_until.get(fingerprint, now) - now)

    def list_expired(self, now):
        """Return the fingerprints whose block has expired."""
        return [
            fingerprint
            for fingerprint, blocked_until in self._blocked_until.items()
            if now >= blocked_until
        ]

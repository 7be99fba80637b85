"""Placement of sessions during a rollout."""

import hashlib


def place_session(session):
    """Return a hash of *session* in [0, 1), the same on every instance."""
    digest = hashlib.blake2b(session.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32

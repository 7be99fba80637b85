"""Sharding of request keys."""

import hashlib

BUCKET_COUNT = 32
"""Number of logs. Bounds the store's write rate independently of the fleet's size."""

KEY_BYTES = 16


def hash_request_key(team, request_id):
    """Return the ledger key of a team's request id, :data:`KEY_BYTES` long."""
    text = f"{team}\0{request_id}".encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


def get_bucket(key):
    """Return the number of the bucket of *key*, from 0."""
    return int.from_bytes(key[:4], "big") % BUCKET_COUNT

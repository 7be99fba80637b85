"""Rendezvous hashing."""

import hashlib


def rank_first(key, names):
    """Return the name that ranks first for *key*, or None of none.

    Everyone who knows the same names picks the same one, and a name that
    goes away moves only what it held.
    """
    return max(names, key=lambda name: _weigh(key, name), default=None)


def rank(key, names, count=None):
    """Return the first *count* names for *key*, or all of them, best first."""
    return sorted(names, key=lambda name: _weigh(key, name), reverse=True)[:count]


def _weigh(key, name):
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()

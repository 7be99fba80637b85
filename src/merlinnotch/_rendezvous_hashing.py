"""Rendezvous hashing."""

import hashlib


def get_highest_ranked(key, names):
    """Return the highest-ranked name for *key*, or None if *names* is empty.

    The result depends only on the arguments, so all instances that know the same
    names agree on it. Removing a name reassigns only the keys it was assigned.
    """
    return max(names, key=lambda name: _compute_weight(key, name), default=None)


def rank_names(key, names, count=None):
    """Return the *count* highest-ranked names for *key*, best first.

    Returns all names if *count* is None.
    """
    return sorted(names, key=lambda name: _compute_weight(key, name), reverse=True)[
        :count
    ]


def _compute_weight(key, name):
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()

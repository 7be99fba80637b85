"""Fingerprints of requests and of prompt parts, the possible causes of a crash."""

import hashlib

FINGERPRINT_BYTES = 12
"""Long enough to make a collision between the requests of a fleet negligible."""
MAX_PARTS = 32
"""Limit on the parts of one prompt that are fingerprinted, half of them from each end.
Prompts of usual callers have fewer."""
_PART_PERSON = b"prompt part"


def fingerprint_request(method, host, target, team, body):
    """Return a digest that is equal for all attempts at the same request.

    *target* is the request target, of which the query is ignored. *team* is the name of
    the caller's team, or None if callers need no key. Ids and deadlines are left out,
    as they differ between attempts, and the attempts may reach different instances.
    """
    path = target.partition("?")[0]
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method, host, path, team or ""):
        digest.update(part.encode("latin-1", "replace"))
        digest.update(b"\0")
    digest.update(body)
    return digest.digest()


def fingerprint_parts(part_ids):
    """Return the digests of the prompt parts that other requests may contain, in order.

    *part_ids* are the ids of all parts of a prompt. The last part belongs to the
    request itself and is left out.
    """
    shared = list(dict.fromkeys(part_ids[:-1]))
    if len(shared) > MAX_PARTS:
        shared = shared[: MAX_PARTS // 2] + shared[-MAX_PARTS // 2 :]
    return tuple(_fingerprint_part(part_id) for part_id in shared)


def _fingerprint_part(part_id):
    data = part_id.lower().encode("latin-1", "replace")
    return hashlib.blake2b(
        data, digest_size=FINGERPRINT_BYTES, person=_PART_PERSON
    ).digest()

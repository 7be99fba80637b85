"""Estimates of the prompt prefixes that an engine has cached."""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

CACHE_MEMORY_SHARE = 0.6
"""Fraction of an engine's memory that cached prefixes are assumed to occupy; running
requests use the rest."""
MAX_PREFIXES = 2048
"""Limit on the prefixes of one cache. Callers choose the length of parts, so the
tokens alone don't bound what a cache takes here."""
KEY_BYTES = 16
"""Long enough to make a collision between prompts negligible."""


@dataclass(frozen=True, slots=True)
class Prefix:
    """A prefix of a prompt on one model, and the *tokens* of its last part."""

    key: bytes
    tokens: int


def list_prefixes(model, prompt):
    """Return a :class:`Prefix` for each part of *prompt*, the shortest first.

    Each key is a digest of the one before it and of the part, so that time and memory
    are linear in the number of parts.
    """
    prefixes = []
    key = _compute_key(b"", model)
    for part in prompt:
        key = _compute_key(key, part.id)
        prefixes.append(Prefix(key, part.tokens))
    return tuple(prefixes)


class PrefixCache:
    """An LRU model of one engine's prefix cache, built from the requests sent to it.

    A part of a prompt can be reused only if all parts before it are cached too, so
    the keys are prefixes. Beyond *capacity_tokens* the least recently used prefixes
    are evicted, as engines do. At most MAX_PREFIXES are kept.
    """

    def __init__(self, capacity_tokens):
        self.capacity_tokens = capacity_tokens
        self._tokens_by_key = OrderedDict()
        self._cached_tokens = 0

    def count_uncached(self, prefixes):
        """Return the number of tokens that the engine would prefill.

        *prefixes* are those of a prompt, from :func:`list_prefixes`.
        """
        uncached = 0
        is_cached = True
        for prefix in prefixes:
            is_cached = is_cached and prefix.key in self._tokens_by_key
            if not is_cached:
                uncached += prefix.tokens
        return uncached

    def record(self, prefixes):
        """Add the *prefixes* of a prompt that the engine runs."""
        for prefix in prefixes:
            if prefix.key in self._tokens_by_key:
                self._tokens_by_key.move_to_end(prefix.key)
                continue
            self._tokens_by_key[prefix.key] = prefix.tokens
            self._cached_tokens += prefix.tokens
        while self._tokens_by_key and self._is_over_capacity():
            _, tokens = self._tokens_by_key.popitem(last=False)
            self._cached_tokens -= tokens

    def clear(self):
        """Remove all entries, as after a restart of the engine."""
        self._tokens_by_key.clear()
        self._cached_tokens = 0

    def _is_over_capacity(self):
        has_too_many = len(self._tokens_by_key) > MAX_PREFIXES
        return has_too_many or self._cached_tokens > self.capacity_tokens


def _compute_key(previous, text):
    # A digest has a fixed length, so different prompts can't give the same bytes.
    data = previous + text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=KEY_BYTES).digest()

"""Which parts of prompts an engine has probably cached."""

from collections import OrderedDict

MEMORY_SHARE = 0.6
"""Part of an engine's memory that cached parts can count on; running requests
take the rest."""


class PrefixCache:
    """Estimates one engine's cache from the requests that were sent to it.

    A part counts only where all parts before it count too, so entries are
    chains. The least recently used chains are dropped beyond *capacity*
    tokens, as the engine does.
    """

    def __init__(self, capacity):
        self.capacity = capacity
        self._chains = OrderedDict()
        self._tokens = 0

    def count_missing(self, model, prompt):
        """Return how many tokens of *prompt* the engine would have to read."""
        missing = 0
        chain = (model,)
        known = True
        for part in prompt:
            chain = (*chain, part.id)
            known = known and chain in self._chains
            if not known:
                missing += part.tokens
        return missing

    def note(self, model, prompt):
        """Remember that the engine reads *prompt* with *model*."""
        chain = (model,)
        for part in prompt:
            chain = (*chain, part.id)
            if chain in self._chains:
                self._chains.move_to_end(chain)
                continue
            self._chains[chain] = part.tokens
            self._tokens += part.tokens
        while self._tokens > self.capacity and self._chains:
            _, tokens = self._chains.popitem(last=False)
            self._tokens -= tokens

    def clear(self):
        """Forget everything; the engine restarted."""
        self._chains.clear()
        self._tokens = 0

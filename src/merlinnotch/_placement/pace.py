"""How fast engines read prompts, learned from what is seen."""

import statistics

DEFAULT_MS_PER_TOKEN = 0.03
"""Before anything was seen; engines of this decade read 10 to 125 tokens a
millisecond, by model."""
MIN_TOKENS = 1500
"""Shorter prompts say more of the fixed cost than of the pace."""


class PaceBook:
    """Milliseconds that engines take to read one token, by model.

    Learned from prompts that met little queue: the smallest of the last
    measurements is nearest to the engine's own pace, waiting only adds.
    *find_cost* returns a model's price, or None. A model that was not seen yet is
    taken to be as much slower as it is dearer: of two price lists, 15 times dearer
    was 10 times slower. Until its first prompt was read, an instance that just
    started would else place large models' prompts as if they were small.
    """

    KEPT = 9

    def __init__(self, find_cost=lambda model: None):
        self._find_cost = find_cost
        self._samples = {}

    def get(self, model):
        """Return the pace of *model* in milliseconds a token."""
        samples = self._samples.get(model)
        if samples:
            return statistics.quantiles(samples, n=4)[0] if samples[1:] else samples[0]
        known = [self._scale(model, other) for other in self._samples]
        return max(known, default=DEFAULT_MS_PER_TOKEN)

    def _scale(self, model, other):
        """Return the pace of *model* as far as that of *other* tells it."""
        cost = self._find_cost(model)
        other_cost = self._find_cost(other)
        dearer = max(1.0, cost / other_cost) if cost and other_cost else 1.0
        return dearer * self.get(other)

    def note(self, model, tokens, seconds):
        """Learn from a prompt of *tokens* unread tokens."""
        if tokens < MIN_TOKENS:
            return
        samples = self._samples.setdefault(model, [])
        samples.append(1000.0 * seconds / tokens)
        del samples[: -self.KEPT]

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
    """

    KEPT = 9

    def __init__(self):
        self._samples = {}

    def get(self, model):
        """Return the pace of *model* in milliseconds a token."""
        samples = self._samples.get(model)
        if samples:
            return statistics.quantiles(samples, n=4)[0] if samples[1:] else samples[0]
        known = [self.get(other) for other in self._samples]
        return max(known, default=DEFAULT_MS_PER_TOKEN)

    def note(self, model, tokens, seconds):
        """Learn from a prompt of *tokens* unread tokens."""
        if tokens < MIN_TOKENS:
            return
        samples = self._samples.setdefault(model, [])
        samples.append(1000.0 * seconds / tokens)
        del samples[: -self.KEPT]

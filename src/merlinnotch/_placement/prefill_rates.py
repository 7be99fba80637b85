"""Measured prefill speed of engines."""

import statistics

DEFAULT_MS_PER_TOKEN = 0.03
"""Used until any model has a sample. Engines read 10 to 125 tokens per millisecond,
depending on the model."""
MIN_SAMPLE_TOKENS = 1500
"""Shorter prompts are ignored, as their time is mostly fixed overhead."""


class PrefillRates:
    """Prefill time in milliseconds per token, by model.

    Uses the lower quartile of recent samples, because queueing only lengthens them.
    *find_cost* returns the cost of a model, or None. A model without samples is
    assumed to be slower than a sampled one by the ratio of their costs; otherwise an
    instance that has just started would treat prompts of large models like those of
    small ones.
    """

    MAX_SAMPLES = 9

    def __init__(self, find_cost=lambda model: None):
        self._find_cost = find_cost
        self._samples = {}

    def get(self, model):
        """Return the prefill time of *model* in milliseconds per token."""
        samples = self._samples.get(model)
        if samples:
            return statistics.quantiles(samples, n=4)[0] if samples[1:] else samples[0]
        estimates = [
            self._extrapolate(model, other_model) for other_model in self._samples
        ]
        return max(estimates, default=DEFAULT_MS_PER_TOKEN)

    def _extrapolate(self, model, other_model):
        """Return the prefill time of *model*, scaled from that of *other_model*."""
        cost = self._find_cost(model)
        other_cost = self._find_cost(other_model)
        cost_ratio = max(1.0, cost / other_cost) if cost and other_cost else 1.0
        return cost_ratio * self.get(other_model)

    def record(self, model, tokens, duration_s):
        """Add a prefill of *tokens* uncached tokens that took *duration_s*."""
        if tokens < MIN_SAMPLE_TOKENS:
            return
        samples = self._samples.setdefault(model, [])
        samples.append(1000.0 * duration_s / tokens)
        del samples[: -self.MAX_SAMPLES]

"""Share of requests that are too hard for the smallest model, by route."""

from .cascade import estimate_hard_probability

SAMPLE_WEIGHT = 0.05
INITIAL_SHARE = 0.3
"""Assumed until answers tell; a low share keeps requests on the smallest model."""


class HardShares:
    """Mean probability, by route, that the smallest model's answer is inadequate."""

    def __init__(self):
        self._shares = {}

    def record(self, route, confidence):
        """Add an answer of the smallest model with its *confidence*, 0 to 100."""
        share = self.get(route)
        sample = estimate_hard_probability(confidence)
        self._shares[route] = share + SAMPLE_WEIGHT * (sample - share)

    def get(self, route):
        """Return the share of *route*, from 0 to 1."""
        return self._shares.get(route, INITIAL_SHARE)

"""Rates of requests by service, team and rank."""

import math
from dataclasses import dataclass

HALF_LIFE_S = 2.0
"""Half-life of the weight of an arrival. Instances of a large fleet get about one
request a second, so a shorter one would show noise, a longer one miss a burst."""
MIN_PER_S = 0.01
"""Lower rates are dropped; a team that has sent nothing for some 15 s falls below."""
MAX_KEYS = 1_000


@dataclass(frozen=True)
class DemandKey:
    """The requests of one *team* for one *service* with one *rank*."""

    service: str
    team: str
    rank: int


@dataclass
class _Rate:
    weight: float
    updated_at: float


class DemandCounter:
    """Events per second by key, a :class:`DemandKey` or a name, with decay."""

    def __init__(self):
        self._rates = {}

    def record(self, key, now):
        """Count an event at *now*."""
        rate = self._rates.get(key)
        if rate is None:
            if len(self._rates) < MAX_KEYS:
                self._rates[key] = _Rate(1.0, now)
            return
        rate.weight = _decay(rate, now) + 1.0
        rate.updated_at = now

    def measure(self, now):
        """Return the events per second by key; drop those that have decayed."""
        per_s = {
            key: _decay(rate, now) * math.log(2.0) / HALF_LIFE_S
            for key, rate in self._rates.items()
        }
        for key in [key for key, value in per_s.items() if value < MIN_PER_S]:
            del per_s[key], self._rates[key]
        return per_s


def _decay(rate, now):
    return rate.weight * 0.5 ** (max(0.0, now - rate.updated_at) / HALF_LIFE_S)

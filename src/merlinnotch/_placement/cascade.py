"""Which model answers, and when a larger one is asked after it."""

from dataclasses import dataclass

POOR_CREDIT = 0.05
"""What an answer is worth that its model was too small for, as a share."""
FREE_SLOWDOWN = 1.5
"""Up to this slowdown of the engines' streams a second run delays nobody much:
prompts are read in between tokens all the time."""
PRICE_PER_MS = 0.010
"""What a millisecond of reading costs the others, in the unit of the models'
costs, for each unit of slowdown beyond the free one. Set so that short and cheap
kinds give up their second runs first, at a slowdown of 2 to 3, and long valuable
ones at 3 to 5."""

HARD_BELOW = ((20.0, 0.97), (30.0, 0.9), (40.0, 0.65), (50.0, 0.45), (60.0, 0.12))
"""Chance that a request was too hard for the small model, by its confidence.
From runs with fixed bounds of 30, 50 and 70: between 30 and 50 lie 15 in 100 of
the requests, and asking again gained 8 in 100; above 50 it gained 0 to 1."""
PRIORITY_VALUE = (1.5, 1.0, 0.6)
"""How a route's priority weighs the value of its answers."""


@dataclass(frozen=True)
class CascadeSettings:
    """*value* is what 1,000 tokens of answer are worth, in the unit of costs.

    Tokens of the prompt count a tenth of those of the answer.
    """

    value: float = 0.3


@dataclass(frozen=True)
class PoolLoad:
    """How busy the engines are and what another run would add.

    *slowdown* is how many times slower than unloaded their streams are,
    *reading_ms* how long the largest model would read the prompt.
    """

    slowdown: float
    reading_ms: float


class CascadePolicy:
    """Buys a second run where its expected gain exceeds its cost."""

    def __init__(self, settings=None):
        self._settings = settings or CascadeSettings()

    def choose_first(self, route):
        """Return the model for the first run."""
        return route.models[0]

    def choose_next(self, route, engine, model, confidence, call, load):
        """Return the model for another run, or None to deliver this answer.

        *confidence* is the model's opinion of its answer, None where it gives
        none; *load* is a :class:`PoolLoad`.
        """
        largest = route.models[-1]
        if model == largest or confidence is None:
            return None
        gain = self._measure_value(route, call) * (1 - POOR_CREDIT)
        gain *= estimate_hard(confidence)
        cost = _measure_cost(engine, largest, call)
        delay = PRICE_PER_MS * max(0.0, load.slowdown - FREE_SLOWDOWN)
        return largest if gain > cost + delay * load.reading_ms else None

    def _measure_value(self, route, call):
        size = call.tokens_in + 10 * call.tokens_out
        rank = min(route.priority, len(PRIORITY_VALUE) - 1)
        return self._settings.value * PRIORITY_VALUE[rank] * size / 1000.0


def estimate_hard(confidence):
    """Return the chance that the request was too hard for its model."""
    for below, chance in HARD_BELOW:
        if confidence < below:
            return chance
    return 0.0


def _measure_cost(engine, model, call):
    price = engine.model_costs.get(model, 0.0) if engine else 0.0
    return price * (call.tokens_in / 4 + call.tokens_out) / 1000.0

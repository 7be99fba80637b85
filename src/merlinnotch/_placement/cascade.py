"""Model cascades: the first model, and when to run a larger one after it."""

import math
from dataclasses import dataclass

INADEQUATE_ANSWER_VALUE = 0.05
"""Relative value of an answer from a model that was too small for the request."""
LATE_ANSWER_VALUE = 0.3
"""Relative value of an answer that starts after the route's latency goal."""
USABLE_TIME_SHARE = 0.8
"""Fraction of the remaining time that the expected duration of another run may use, as
streams take longer than estimated under load."""
TOLERATED_SLOWDOWN = 2.0
"""Slowdown of the upstreams' streams up to which the delay that another run causes to
other requests is ignored."""
PREFILL_COST_PER_MS = 0.010
"""Cost to other requests of one millisecond of prefill, in the unit of model costs,
per unit of slowdown above ``TOLERATED_SLOWDOWN``. Short and cheap kinds of request
give up their second runs first, long and valuable ones at a higher slowdown."""

HARD_PROBABILITIES = (
    (30.0, 0.95),
    (40.0, 0.8),
    (50.0, 0.65),
    (60.0, 0.14),
    (70.0, 0.06),
)
"""Pairs of an exclusive upper bound of the small model's confidence, which
ranges from 0 to 100, and the probability that the request was too hard for it."""
PRIORITY_WEIGHTS = (1.5, 1.0, 0.6)
"""Weight of an answer's value by the priority of its route, 0 first."""


@dataclass(frozen=True)
class CascadeSettings:
    """Settings of :class:`CascadePolicy`.

    *value* is the value of 1,000 prompt tokens in the unit of model costs, which is
    that of the configured ``model_costs``. An answer token counts as ten prompt tokens.
    """

    value: float = 0.3


@dataclass(frozen=True)
class CascadeConditions:
    """The load of the upstreams, and the expected timing of another run.

    *slowdown* is the time per token relative to an unloaded upstream. *prefill_ms* is
    the prefill time on the largest model, *queued_prefill_ms* the prefill time of
    requests ahead of it, *decode_s* the expected decode time. *waited_s* is the time
    since the request arrived, *time_left_s* the time until its deadline.
    """

    slowdown: float
    prefill_ms: float
    queued_prefill_ms: float = 0.0
    decode_s: float = 0.0
    waited_s: float = 0.0
    time_left_s: float = math.inf

    @property
    def time_to_first_event_s(self):
        """Seconds until the first event of another run."""
        return (self.queued_prefill_ms + self.prefill_ms) / 1000.0


class CascadePolicy:
    """Starts another run if its expected gain in value exceeds its cost."""

    def __init__(self, settings=None):
        self._settings = settings or CascadeSettings()

    def choose_first(self, route):
        """Return the model for the first run."""
        return route.models[0]

    def choose_only(self, route, engine, call, hard_share, conditions):
        """Return the model for a request that can't be run again.

        This is the largest one if what its answers are worth more, given that
        *hard_share* of the requests are too hard for the smallest one, exceeds what
        they cost more. *conditions* are as for :meth:`choose_next`.
        """
        smallest, largest = route.models[0], route.models[-1]
        if conditions.time_to_first_event_s > route.goal_s:
            return smallest
        gain = (
            (1.0 - INADEQUATE_ANSWER_VALUE)
            * hard_share
            * self._estimate_value(route, call)
        )
        cost = _estimate_cost(engine, largest, call) - _estimate_cost(
            engine, smallest, call
        )
        return largest if gain > cost + _estimate_displacement(conditions) else smallest

    def can_improve(self, route, model, confidence):
        """Return whether another run could improve the answer, regardless of load."""
        if model == route.models[-1] or confidence is None:
            return False
        return estimate_hard_probability(confidence) > 0.0

    def choose_next(self, route, engine, model, confidence, call, conditions):
        """Return the model for another run, or None to deliver this answer.

        *confidence* is the score that *model* reported for its answer, from 0 to 100,
        or None;
        *conditions* is a :class:`CascadeConditions`.
        """
        if not self.can_improve(route, model, confidence):
            return None
        largest = route.models[-1]
        gain = self._estimate_value(route, call) * _estimate_gain(
            route, confidence, conditions
        )
        cost = _estimate_cost(engine, largest, call)
        return largest if gain > cost + _estimate_displacement(conditions) else None

    def _estimate_value(self, route, call):
        """Return the value of a correct answer to *call* in the unit of model costs."""
        weighted_tokens = call.tokens_in + 10 * call.tokens_out
        weight_index = min(route.priority, len(PRIORITY_WEIGHTS) - 1)
        return (
            self._settings.value
            * PRIORITY_WEIGHTS[weight_index]
            * weighted_tokens
            / 1000.0
        )


def _estimate_gain(route, confidence, conditions):
    """Return the expected gain of another run as a fraction of an answer's value.

    The gain is zero if the run is not expected to end before the deadline. A run
    that misses the latency goal is worth only ``LATE_ANSWER_VALUE``.
    """
    if (
        conditions.time_to_first_event_s + conditions.decode_s
        > USABLE_TIME_SHARE * conditions.time_left_s
    ):
        return 0.0
    current_value = 1.0 - (1.0 - INADEQUATE_ANSWER_VALUE) * estimate_hard_probability(
        confidence
    )
    is_late = conditions.waited_s + conditions.time_to_first_event_s > route.goal_s
    return (LATE_ANSWER_VALUE if is_late else 1.0) - current_value


def _estimate_displacement(conditions):
    """Return the cost of a run to other requests, in the unit of model costs."""
    excess = max(0.0, conditions.slowdown - TOLERATED_SLOWDOWN)
    return PREFILL_COST_PER_MS * excess * conditions.prefill_ms


def estimate_hard_probability(confidence):
    """Return the probability that the request was too hard for its model."""
    for upper_bound, probability in HARD_PROBABILITIES:
        if confidence < upper_bound:
            return probability
    return 0.0


def _estimate_cost(engine, model, call):
    """Return the cost of a run in the unit of model costs.

    Model costs are per 1,000 answer tokens; four prompt tokens count as one of them.
    """
    cost_per_1k_tokens = engine.model_costs.get(model, 0.0) if engine else 0.0
    return cost_per_1k_tokens * (call.tokens_in / 4 + call.tokens_out) / 1000.0

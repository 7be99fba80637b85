"""Estimates of the quality, duration and token count of answers."""

import math
from dataclasses import dataclass

PRIOR_COUNT = 10
PRIOR_DEVIATION = 0.25
CONFIDENCE_Z = 1.64
SMOOTHING = 0.1
DEFAULT_DURATION_S = 0.5
DEFAULT_TOKENS = 200.0


@dataclass(frozen=True)
class Quality:
    """An estimate of the quality of a version's answers to one kind of request.

    *lower_bound* is the lower confidence bound of *mean*. *acceptance_rate* is the
    probability that an answer meets the quality target, *accepted_mean* the mean
    quality of the answers that do.
    """

    mean: float
    lower_bound: float
    acceptance_rate: float
    accepted_mean: float


class QualityEstimator:
    """Estimates per version and kind of request.

    Quality is estimated from fleet-wide tallies, duration and token count from this
    instance's own answers.
    """

    def __init__(self):
        self._tallies = {}
        self._durations = {}
        self._tokens = {}

    def replace_tallies(self, tallies):
        """Replace the fleet-wide tallies, keyed by (version id, kind name)."""
        self._tallies = tallies

    def record_answer(self, version_id, kind, duration_s, tokens):
        """Update the averages with an answer that this instance received."""
        key = (version_id, kind)
        _update_average(self._durations, key, duration_s)
        _update_average(self._tokens, kind, tokens)

    def get_duration_s(self, version_id, kind):
        """Return the expected duration of an answer in seconds."""
        return self._durations.get((version_id, kind), DEFAULT_DURATION_S)

    def get_mean_tokens(self, kind):
        """Return the mean number of tokens of a request and its answer."""
        return self._tokens.get(kind, DEFAULT_TOKENS)

    def get_rating_count(self, version_id, kind):
        """Return the number of ratings that the estimate is based on."""
        tally = self._tallies.get((version_id, kind))
        return tally.rated if tally else 0

    def estimate(self, version_id, kind, model, target):
        """Return the :class:`Quality`; the model's expected quality is the prior."""
        tally = self._tallies.get((version_id, kind))
        prior = model.expected_quality
        prior_acceptance = 1.0 if prior >= target else 0.5
        rated = tally.rated if tally else 0
        total_count = rated + PRIOR_COUNT
        score_sum = (tally.score_sum if tally else 0.0) + PRIOR_COUNT * prior
        mean = score_sum / total_count
        deviation = _estimate_deviation(tally)
        accepted = (tally.accepted if tally else 0) + PRIOR_COUNT * prior_acceptance
        accepted_sum = tally.accepted_sum if tally else 0.0
        accepted_sum += PRIOR_COUNT * prior_acceptance * max(prior, target)
        return Quality(
            mean=mean,
            lower_bound=mean - CONFIDENCE_Z * deviation / math.sqrt(total_count),
            acceptance_rate=accepted / total_count,
            accepted_mean=accepted_sum / accepted if accepted else target,
        )


def _estimate_deviation(tally):
    if tally is None or tally.rated < PRIOR_COUNT:
        return PRIOR_DEVIATION
    mean = tally.score_sum / tally.rated
    variance = tally.score_square_sum / tally.rated - mean**2
    return math.sqrt(max(variance, 0.01))


def _update_average(values, key, value):
    previous = values.get(key, value)
    values[key] = previous + SMOOTHING * (value - previous)

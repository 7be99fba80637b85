"""What is known of quality, time and size of answers."""

import math
from dataclasses import dataclass

PRIOR_RATINGS = 10
PRIOR_DEVIATION = 0.25
CONFIDENCE_Z = 1.64
SMOOTHING = 0.1
DEFAULT_DURATION_S = 0.5
DEFAULT_TOKENS = 200.0


@dataclass(frozen=True)
class Quality:
    """An estimate: mean, its lower bound, and what passes the target.

    *accept* is the chance that an answer meets the kind's target and
    *accepted_mean* the mean quality of those that do.
    """

    mean: float
    lower: float
    accept: float
    accepted_mean: float


class QualityBook:
    """Estimates per version and kind, from the fleet's tallies and our times."""

    def __init__(self):
        self._tallies = {}
        self._durations = {}
        self._tokens = {}

    def replace_tallies(self, tallies):
        """Take the fleet's tallies, keyed by (version id, kind name)."""
        self._tallies = tallies

    def note_answer(self, version_id, kind, duration_s, tokens):
        """Learn from one of our own answers."""
        key = (version_id, kind)
        _smooth(self._durations, key, duration_s)
        _smooth(self._tokens, kind, tokens)

    def get_duration_s(self, version_id, kind):
        """Return the expected time of an answer in seconds."""
        return self._durations.get((version_id, kind), DEFAULT_DURATION_S)

    def get_tokens(self, kind):
        """Return the expected number of tokens of a request and its answer."""
        return self._tokens.get(kind, DEFAULT_TOKENS)

    def get_rated(self, version_id, kind):
        """Return how many ratings the estimate rests on."""
        tally = self._tallies.get((version_id, kind))
        return tally.rated if tally else 0

    def estimate(self, version_id, kind, model, target):
        """Return the :class:`Quality`; the model's expectation is the prior."""
        tally = self._tallies.get((version_id, kind))
        prior = model.expected_quality
        prior_accept = 1.0 if prior >= target else 0.5
        rated = tally.rated if tally else 0
        total = rated + PRIOR_RATINGS
        score_sum = (tally.score_sum if tally else 0.0) + PRIOR_RATINGS * prior
        mean = score_sum / total
        deviation = _deviation(tally)
        accepted = (tally.accepted if tally else 0) + PRIOR_RATINGS * prior_accept
        accepted_sum = tally.accepted_sum if tally else 0.0
        accepted_sum += PRIOR_RATINGS * prior_accept * max(prior, target)
        return Quality(
            mean=mean,
            lower=mean - CONFIDENCE_Z * deviation / math.sqrt(total),
            accept=accepted / total,
            accepted_mean=accepted_sum / accepted if accepted else target,
        )


def _deviation(tally):
    if tally is None or tally.rated < PRIOR_RATINGS:
        return PRIOR_DEVIATION
    mean = tally.score_sum / tally.rated
    variance = tally.score_squares / tally.rated - mean**2
    return math.sqrt(max(variance, 0.01))


def _smooth(values, key, value):
    known = values.get(key, value)
    values[key] = known + SMOOTHING * (value - known)

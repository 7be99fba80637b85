"""Tails of binomial distributions."""

import math


def compute_binomial_tail(count, trials, rate):
    """Return the probability of *count* or more of *trials* at *rate*, less than 1.

    Works with logarithms, as the coefficients of large binomials overflow a float.
    """
    if count == 0:
        return 1.0
    if rate == 0.0:
        return 0.0
    below = sum(
        math.exp(_compute_log_probability(successes, trials, rate))
        for successes in range(count)
    )
    return max(0.0, 1.0 - below)


def _compute_log_probability(successes, trials, rate):
    failures = trials - successes
    log_coefficient = (
        math.lgamma(trials + 1) - math.lgamma(successes + 1) - math.lgamma(failures + 1)
    )
    return (
        log_coefficient + successes * math.log(rate) + failures * math.log(1.0 - rate)
    )

"""Comparison of a new version's answers with those of the others."""

from dataclasses import dataclass

from .binomial import compute_binomial_tail
from .failures import FailureCounts, combine_rates
from .latency import LatencyCounts
from .tallies import Tally

MIN_BAD_ANSWERS = 3
"""Fewest bad answers that reject a version, as upstreams fail occasionally."""
BASE_FAILURE_RATE = 0.04
"""Fraction of bad answers that any version is allowed, for faults of the platform such
as lost or corrupted answers."""
BACKGROUND_FACTOR = 1.2
"""Allowed multiple of the failure rate of the other versions, as a disruption seldom
affects all upstreams equally."""
REJECTION_P_VALUE = 0.002
"""A version is rejected if a healthy one would give so many bad answers with a lower
probability than this. It is low because the test is repeated during a rollout."""

SLOW_BASE_RATE = 0.1
"""Fraction of slow answers that any version is allowed, see :mod:`.latency`."""
SLOW_RATE_FACTOR = 1.3
"""Allowed multiple of the expected rate of slow answers."""
MIN_SLOW_ANSWERS = 5
"""Fewest slow answers that reject a version."""

DETECTABLE_FAULT_RATE = 1 / 3
"""Smallest fraction of bad or slow answers, beyond the old version's, that the test for
health is meant to detect."""
HEALTHY_P_VALUE = 0.1
"""A version is healthy if a bad one would give so few bad answers with a lower
probability than this."""
SUSPECT_P_VALUE = 0.02
"""A version is suspect if a healthy one would give so many bad or slow answers with a
lower probability than this. It then needs more answers before it advances."""
UNEXPLAINED_P_VALUE = 0.1
"""Like SUSPECT_P_VALUE, for the failures on a route on which a bad version isn't ruled
out either."""


@dataclass(frozen=True)
class Comparison:
    """Answers of the new version and of the old one, and how long they took.

    *old* is the sum over all versions other than the new one, *failures* the
    comparison with those of the same time. *route* is None for the sum over all routes.
    """

    route: str | None
    failures: FailureCounts
    old: Tally
    latency: LatencyCounts

    @property
    def name(self):
        """The route, for logs."""
        return "all routes" if self.route is None else f"route {self.route}"

    @property
    def new(self):
        """The :class:`Tally` of the new version."""
        return self.failures.total

    @property
    def is_rejected(self):
        """Whether the new version is significantly worse."""
        return has_more_failures(self.failures, self.old) or is_slower(self.latency)

    @property
    def is_suspect(self):
        """Whether a healthy version would be unlikely to answer like this."""
        failure_p_value = _compute_failure_p_value(self.failures, self.old)
        return (
            min(failure_p_value, _compute_slow_p_value(self.latency)) < SUSPECT_P_VALUE
        )

    @property
    def is_unexplained(self):
        """Whether the failures are likely the new version's own."""
        p_value = _compute_failure_p_value(self.failures, self.old)
        return p_value < UNEXPLAINED_P_VALUE and not self.rules_out_failures

    @property
    def rules_out_failures(self):
        """Whether a failing version would be unlikely to have so few failures."""
        return rules_out_fault(self.failures)

    @property
    def is_healthy(self):
        """Whether a bad version would be unlikely to answer as well as this."""
        if not self.rules_out_failures:
            return False
        slow_rate = combine_rates(
            self.latency.expected_slow_rate, DETECTABLE_FAULT_RATE
        )
        # Without comparable answers, the times show nothing either way.
        return not self.latency.answers or rules_out_rate(
            self.latency.slow, self.latency.answers, slow_rate
        )

    def describe(self):
        """Return the counts as text for logs.

        "before" precedes the counts of the other versions, which are of the same time.
        """
        paired = self.failures.paired
        return (
            f"{self.new.bad} bad of {self.new.answers}, "
            f"before {self.old.bad} of {self.old.answers}, "
            f"{paired.bad} bad of {paired.answers} at the same time, "
            f"usual {self.failures.background:.1f}; "
            f"{self.latency.slow} slow of {self.latency.answers}, "
            f"usual {self.latency.expected_slow:.1f}"
        )


def is_slower(latency):
    """Return whether the :class:`LatencyCounts` of a version reject it."""
    return (
        latency.slow >= MIN_SLOW_ANSWERS
        and _compute_slow_p_value(latency) < REJECTION_P_VALUE
    )


def has_more_failures(failures, old):
    """Return whether the new version's :class:`FailureCounts` reject it.

    A one-sided binomial test against the failure rate of the other versions at the same
    time, so that a fault that affects both rejects neither. *old* is their
    :class:`Tally`, the background of answers without concurrent ones.
    """
    return (
        failures.total.bad >= MIN_BAD_ANSWERS
        and _compute_failure_p_value(failures, old) < REJECTION_P_VALUE
    )


def sum_routes(comparisons):
    """Return the :class:`Comparison` over all routes."""
    failures, old, latency = FailureCounts(), Tally(), LatencyCounts()
    for comparison in comparisons:
        failures = failures.add(comparison.failures)
        old = old.add(comparison.old)
        latency = latency.add(comparison.latency)
    return Comparison(None, failures, old, latency)


def rules_out_rate(bad, answers, rate):
    """Return whether *bad* of *answers* is significantly below the failure *rate*.

    Here and below, rates are limited to 0.9, as they must be less than 1.
    """
    return (
        1.0 - compute_binomial_tail(bad + 1, answers, min(0.9, rate)) < HEALTHY_P_VALUE
    )


def rules_out_fault(failures):
    """Return whether :class:`FailureCounts` are too few for a failing version."""
    bad_rate = failures.get_lowest_rate(DETECTABLE_FAULT_RATE)
    return rules_out_rate(failures.total.bad, failures.total.answers, bad_rate)


def _compute_failure_p_value(failures, old):
    """Return the probability of so many failures of a healthy version, 1 if usual."""
    # A sum of binomials with several rates has a lighter tail than one binomial with
    # the mean rate (Hoeffding), so the test keeps its level.
    allowed = failures.get_highest_rate(
        BASE_FAILURE_RATE, BACKGROUND_FACTOR, _get_bad_rate(old)
    )
    new = failures.total
    if new.bad <= allowed * new.answers:
        return 1.0
    return compute_binomial_tail(new.bad, new.answers, min(0.9, allowed))


def _compute_slow_p_value(latency):
    expected_rate = min(1.0, SLOW_RATE_FACTOR * latency.expected_slow_rate)
    allowed = min(0.9, combine_rates(expected_rate, SLOW_BASE_RATE))
    return compute_binomial_tail(latency.slow, latency.answers, allowed)


def _get_bad_rate(old):
    return old.bad / old.answers if old.answers else 0.0

"""Statistical tests of whether a version answers worse than the others in use."""

import enum
import math
from dataclasses import dataclass

from .busy import is_busy
from .failures import FailureCounts, combine_rates
from .latency import LatencyCounts, compare_latencies
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
MAX_UNPROVEN_BAD_ANSWERS = 40
"""Bad answers at which a version is rejected unless they are too few for a bad one.
Rollbacks are due after 50; the rest covers answers that were not reported yet."""
RECENT_WINDOWS = (1, 2, 4)
"""Numbers of closed windows whose failures are also tested alone. In the sum over all,
a version that turns bad is hidden by its answers from before."""

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
MIN_BUSY_SHARE = 0.05
"""If at least this fraction of the old version's answers came from busy upstreams, the
new one needs busy answers too."""
SUSPECT_P_VALUE = 0.02
"""A version is suspect if a healthy one would give so many bad or slow answers with a
lower probability than this. It then needs more answers before it advances."""
UNEXPLAINED_P_VALUE = 0.1
"""Like SUSPECT_P_VALUE, for the failures on a route on which a bad version isn't ruled
out either."""


class VersionHealth(enum.Enum):
    """Assessment of a version by its answers."""

    UNKNOWN = "unknown"
    """Too few answers, or too few from busy upstreams; none of them bad or slow."""
    HEALTHY = "healthy"
    """Enough good answers that a bad version is unlikely to have given them."""
    SUSPECT = "suspect"
    """One or more bad or slow answers that may or may not be chance."""


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
    def rules_out_failures(self):
        """Whether a failing version would be unlikely to have so few failures."""
        bad_rate = self.failures.get_lowest_rate(DETECTABLE_FAULT_RATE)
        return _rules_out_rate(self.new.bad, self.new.answers, bad_rate)

    @property
    def is_healthy(self):
        """Whether a bad version would be unlikely to answer as well as this."""
        if not self.rules_out_failures:
            return False
        slow_rate = combine_rates(
            self.latency.expected_slow_rate, DETECTABLE_FAULT_RATE
        )
        # Without comparable answers, the times show nothing either way.
        return not self.latency.answers or _rules_out_rate(
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


def find_rejection_reason(counts, order, bad_answers=0):
    """Return a reason to roll back the target of *order*, or None.

    Tests all routes together and each one alone, as some versions fail on one route
    only, and limits the bad answers of a version that isn't shown to be sound.
    *counts* are :class:`AnswerCounts`; their ``tallies`` count answers and bad answers,
    their ``times`` answer times. *bad_answers* is the total that is known from all
    processes, also from those whose counts are not known any more.
    """
    total = None
    for routes in _compare_spans(counts, order):
        total = _sum_routes(routes)
        for comparison in (*routes, total):
            if comparison.is_rejected:
                return f"{comparison.name}: {comparison.describe()}"
        # Where the comparison can't tell, the number of harmed callers decides.
        if _has_unproven_bad_answers(total, total.new.bad):
            return f"not shown to be sound: {total.describe()}"
    if _has_unproven_bad_answers(total, bad_answers):
        return f"{bad_answers} bad, not shown to be sound: {total.describe()}"
    return None


def _has_unproven_bad_answers(total, bad_answers):
    return bad_answers >= MAX_UNPROVEN_BAD_ANSWERS and not total.rules_out_failures


def rules_out_failures(counts, order):
    """Return whether a failing version would be unlikely to have so few failures."""
    return _sum_routes(_compare_routes(counts, order)).rules_out_failures


def assess_health(counts, order, has_full_traffic=False):
    """Return the :class:`VersionHealth` of the target of *order*.

    An absence of faults in few answers proves nothing, as a version that fails only
    some of its answers may not have shown it yet. The version is healthy only once a
    bad one would be unlikely to have given the same answers.

    *has_full_traffic* is whether its upstreams get as much traffic as those of the
    old version. If those were busy at times, the new version also has to show that it
    is healthy by its answers while busy.
    """
    for routes in _compare_spans(counts, order):
        total = _sum_routes(routes)
        if any(comparison.is_suspect for comparison in (*routes, total)):
            return VersionHealth.SUSPECT
    if (
        total.is_healthy
        and not _has_unexplained_route(routes)
        and not _has_unpaired_failures(counts, order)
        and not (has_full_traffic and _lacks_busy_answers(counts, order))
    ):
        return VersionHealth.HEALTHY
    return (
        VersionHealth.SUSPECT
        if total.new.bad or total.latency.slow
        else VersionHealth.UNKNOWN
    )


def _has_unpaired_failures(counts, order):
    """Return whether recent failures without a background leave the version in doubt.

    The last stage has such answers only. Earlier ones must not make up for them, as
    they are of other conditions.
    """
    recent = counts.compare_failures(order, RECENT_WINDOWS[-1]).values()
    unpaired = Tally()
    for failures in recent:
        unpaired = unpaired.add(failures.unpaired)
    return unpaired.bad > 0 and not _rules_out_rate(
        unpaired.bad, unpaired.answers, DETECTABLE_FAULT_RATE
    )


def _has_unexplained_route(routes):
    """Return whether the failures on a route are likely the new version's own."""
    return any(
        _compute_failure_p_value(comparison.failures, comparison.old)
        < UNEXPLAINED_P_VALUE
        and not comparison.rules_out_failures
        for comparison in routes
    )


def _lacks_busy_answers(counts, order):
    """Return whether the old version was busy at times and the new one too seldom.

    The names of the counted routes show whether the upstreams were busy.
    """
    baseline, baseline_busy, target_busy = Tally(), Tally(), Tally()
    for key in counts.tallies.list_keys(order):
        tally = counts.tallies.sum(key)
        if key.version == order.target:
            target_busy = target_busy.add(tally) if is_busy(key.route) else target_busy
            continue
        baseline = baseline.add(tally)
        baseline_busy = (
            baseline_busy.add(tally) if is_busy(key.route) else baseline_busy
        )
    if baseline_busy.answers < MIN_BUSY_SHARE * baseline.answers:
        return False
    return not _rules_out_rate(
        target_busy.bad, target_busy.answers, DETECTABLE_FAULT_RATE
    )


def describe_counts(counts, order):
    """Return as text the counts of the target of *order* and of the other versions."""
    return _sum_routes(_compare_routes(counts, order)).describe()


def _compare_spans(counts, order):
    """Yield the comparisons of all routes, over recent windows and then over all.

    Those of recent windows have no times.
    """
    for closed_count in RECENT_WINDOWS:
        yield [
            Comparison(route, failures, old, LatencyCounts())
            for route, failures, old in _pair_routes(counts, order, closed_count)
        ]
    yield _compare_routes(counts, order)


def _compare_routes(counts, order):
    """Return a :class:`Comparison` for each route with answers of the new version.

    Answers of busy upstreams are counted as a route of their own, see :mod:`.busy`.
    """
    latencies = compare_latencies(counts.times, order)
    return [
        Comparison(route, failures, old, latencies[route])
        for route, failures, old in _pair_routes(counts, order)
    ]


def _pair_routes(counts, order, closed_count=None):
    """Yield route, :class:`FailureCounts` and :class:`Tally` of the other versions."""
    for route, failures in counts.compare_failures(order, closed_count).items():
        yield route, failures, _sum_other_versions(counts.tallies, order, route)


def _sum_routes(comparisons):
    """Return the :class:`Comparison` over all routes."""
    failures, old, latency = FailureCounts(), Tally(), LatencyCounts()
    for comparison in comparisons:
        failures = failures.add(comparison.failures)
        old = old.add(comparison.old)
        latency = latency.add(comparison.latency)
    return Comparison(None, failures, old, latency)


def _sum_other_versions(tallies, order, route):
    total = Tally()
    for key in tallies.list_keys(order):
        if key.route == route and key.version != order.target:
            total = total.add(tallies.sum(key))
    return total


def _rules_out_rate(bad, answers, rate):
    """Return whether *bad* of *answers* is significantly below the failure *rate*.

    Here and below, rates are limited to 0.9, as they must be less than 1.
    """
    return (
        1.0 - _compute_binomial_tail(bad + 1, answers, min(0.9, rate)) < HEALTHY_P_VALUE
    )


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
    return _compute_binomial_tail(new.bad, new.answers, min(0.9, allowed))


def _compute_slow_p_value(latency):
    expected_rate = min(1.0, SLOW_RATE_FACTOR * latency.expected_slow_rate)
    allowed = min(0.9, combine_rates(expected_rate, SLOW_BASE_RATE))
    return _compute_binomial_tail(latency.slow, latency.answers, allowed)


def _get_bad_rate(old):
    return old.bad / old.answers if old.answers else 0.0


def _compute_binomial_tail(count, trials, rate):
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

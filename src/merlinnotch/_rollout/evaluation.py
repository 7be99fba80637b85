"""Statistical tests of whether a version answers worse than the others in use."""

import enum

from .busy import is_busy
from .comparison import (
    DETECTABLE_FAULT_RATE,
    Comparison,
    rules_out_fault,
    rules_out_rate,
    sum_routes,
)
from .failures import FailureCounts
from .latency import LatencyCounts, compare_latencies
from .tallies import Tally

MAX_UNPROVEN_BAD_ANSWERS = 40
"""Bad answers at which a version is rejected unless they are too few for a bad one.
Rollbacks are due after 50; the rest covers answers that were not reported yet."""
RECENT_WINDOWS = (1, 2, 4)
"""Numbers of closed windows whose failures are also tested alone. In the sum over all,
a version that turns bad is hidden by its answers from before."""
MIN_BUSY_SHARE = 0.05
"""If at least this fraction of the old version's answers came from busy upstreams, the
new one needs busy answers too."""


class VersionHealth(enum.Enum):
    """Assessment of a version by its answers."""

    UNKNOWN = "unknown"
    """Too few answers, or too few from busy upstreams; none of them bad or slow."""
    HEALTHY = "healthy"
    """Enough good answers that a bad version is unlikely to have given them."""
    SUSPECT = "suspect"
    """One or more bad or slow answers that may or may not be chance."""


def find_rejection_reason(counts, order, bad_answers=0):
    """Return a reason to roll back the target of *order*, or None.

    Tests all routes together and each one alone, as some versions fail on one route
    only, and limits the bad answers of a version that isn't shown to be sound.
    *counts* are :class:`AnswerCounts`; their ``tallies`` count answers and bad answers,
    their ``times`` answer times. *bad_answers* is the total that is known from all
    processes, also from those whose counts are not known any more.
    """
    for routes in _compare_spans(counts, order):
        total = sum_routes(routes)
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
    return rules_out_fault(_sum_failures(counts, order))


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
        total = sum_routes(routes)
        if any(comparison.is_suspect for comparison in (*routes, total)):
            return VersionHealth.SUSPECT
    if (
        total.is_healthy
        and not any(comparison.is_unexplained for comparison in routes)
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
    unpaired = _sum_failures(counts, order, RECENT_WINDOWS[-1]).unpaired
    return unpaired.bad > 0 and not rules_out_rate(
        unpaired.bad, unpaired.answers, DETECTABLE_FAULT_RATE
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
    return not rules_out_rate(
        target_busy.bad, target_busy.answers, DETECTABLE_FAULT_RATE
    )


def describe_counts(counts, order):
    """Return as text the counts of the target of *order* and of the other versions."""
    return sum_routes(_compare_routes(counts, order)).describe()


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


def _sum_failures(counts, order, closed_count=None):
    """Return the :class:`FailureCounts` over all routes."""
    total = FailureCounts()
    for failures in counts.compare_failures(order, closed_count).values():
        total = total.add(failures)
    return total


def _sum_other_versions(tallies, order, route):
    total = Tally()
    for key in tallies.list_keys(order):
        if key.route == route and key.version != order.target:
            total = total.add(tallies.sum(key))
    return total

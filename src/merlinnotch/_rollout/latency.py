"""Counts of the answers of a version that took much longer than comparable ones.

In the first stages new upstreams are nearly idle, and even a version that is several
times slower answers about as fast as the loaded upstreams of the old version. Answers
are therefore compared with answers of the old version at about the same load. A single
instance sees too few of them, so the baseline combines the counts of all instances.
"""

import collections
from dataclasses import dataclass

from .times import get_band_midpoint_s

MIN_BASELINE_ANSWERS = 10
"""Fewest answers of the old version that make a baseline."""
SLOW_FACTOR = 2.0
"""An answer is slow if it takes more than this multiple of the median. Healthy versions
have slow answers too; the rates are compared."""
MIN_SLOW_EXCESS_S = 0.02
"""Least excess over the median that makes an answer slow, as scheduling can double the
time of the shortest answers."""


@dataclass(frozen=True)
class LatencyCounts:
    """Comparable answers and the slow ones among them.

    *expected_slow* is how many of them would be slow at the rate of the old version.
    """

    answers: int = 0
    slow: int = 0
    expected_slow: float = 0.0

    @property
    def expected_slow_rate(self):
        """The fraction of slow answers at the rate of the old version."""
        return self.expected_slow / self.answers if self.answers else 0.0

    def add(self, other):
        """Return the sum."""
        return LatencyCounts(
            self.answers + other.answers,
            self.slow + other.slow,
            self.expected_slow + other.expected_slow,
        )


def compare_latencies(times, order):
    """Return the :class:`LatencyCounts` of the target of *order* by route.

    *times* is a :class:`ReplicatedCounters` of :class:`TimeKey`. Answers without a
    baseline are left out.
    """
    baseline_counts = collections.defaultdict(lambda: collections.defaultdict(dict))
    target_counts = collections.defaultdict(dict)
    for key in times.list_keys(order):
        count = times.sum(key).answers
        if key.version == order.target:
            target_counts[key.route, key.kind, key.load_band][key.time_band] = count
        else:
            histogram = baseline_counts[key.kind][key.load_band]
            histogram[key.time_band] = histogram.get(key.time_band, 0) + count
    latencies = collections.defaultdict(LatencyCounts)
    for (route, kind, load), histogram in target_counts.items():
        baseline = _select_baseline(baseline_counts[kind], load)
        if baseline:
            latencies[route] = latencies[route].add(
                _compare_with_baseline(histogram, baseline)
            )
    return latencies


def _select_baseline(by_load, load):
    """Return counts by time band at the closest loads, or None if there are too few.

    If most of them were measured at a higher load, only their faster half is returned:
    otherwise a slow version on idle upstreams would look like the old version on busy
    ones.
    """
    baseline = collections.Counter()
    at_higher_load = 0
    for other_load in sorted(by_load, key=lambda other: abs(other - load)):
        baseline.update(by_load[other_load])
        at_higher_load += sum(by_load[other_load].values()) if other_load > load else 0
        if baseline.total() >= MIN_BASELINE_ANSWERS:
            return (
                _take_faster_half(baseline)
                if 2 * at_higher_load > baseline.total()
                else baseline
            )
    return None


def _take_faster_half(baseline):
    remaining = (baseline.total() + 1) // 2
    faster = collections.Counter()
    for band in sorted(baseline):
        faster[band] = min(remaining, baseline[band])
        remaining -= faster[band]
    return faster


def _compare_with_baseline(histogram, baseline):
    threshold_s = _compute_slow_threshold(baseline)
    answers = sum(histogram.values())
    baseline_slow_rate = _count_above(baseline, threshold_s) / baseline.total()
    return LatencyCounts(
        answers, _count_above(histogram, threshold_s), baseline_slow_rate * answers
    )


def _compute_slow_threshold(baseline):
    """Return the time in seconds above which an answer is slow."""
    half = baseline.total() / 2
    cumulative = 0
    for band in sorted(baseline):
        cumulative += baseline[band]
        if cumulative >= half:
            break
    median_s = get_band_midpoint_s(band)
    return max(SLOW_FACTOR * median_s, median_s + MIN_SLOW_EXCESS_S)


def _count_above(histogram, threshold_s):
    return sum(
        count
        for band, count in histogram.items()
        if get_band_midpoint_s(band) > threshold_s
    )

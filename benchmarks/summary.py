"""Figures of one run of callers."""

import collections
from dataclasses import dataclass

import numpy


@dataclass
class Summary:
    """What callers got; times are in milliseconds, *goodput* per second."""

    asked: int
    answered: int
    goodput: float
    p50: float
    p95: float
    p99: float
    first_p50: float
    first_p95: float
    gap_p95: float
    quality: float
    tries: float
    errors: dict
    versions: dict


def summarise(samples, duration_s):
    """Return the :class:`Summary` of *samples*, all that were asked."""
    good = [sample for sample in samples if sample.status == 200]
    latency = _quantiles([s.latency for s in good], (50, 95, 99))
    first = _quantiles([s.first for s in good], (50, 95))
    gaps = _quantiles([gap for s in good for gap in s.gaps], (95,))
    rated = [s.quality for s in good if s.quality >= 0]
    return Summary(
        asked=len(samples),
        answered=len(good),
        goodput=len(good) / duration_s,
        p50=latency[0],
        p95=latency[1],
        p99=latency[2],
        first_p50=first[0],
        first_p95=first[1],
        gap_p95=gaps[0],
        quality=float(numpy.mean(rated)) if rated else 0.0,
        tries=float(numpy.mean([s.tries for s in samples])) if samples else 0.0,
        errors=dict(collections.Counter(s.error for s in samples if s.status != 200)),
        versions=dict(collections.Counter(s.version for s in good)),
    )


def format_summary(name, summary):
    """Return a line for people."""
    return (
        f"{name:28} answered {summary.answered}/{summary.asked} "
        f"{summary.goodput:6.1f}/s  p50 {summary.p50:6.1f} p95 {summary.p95:7.1f} "
        f"p99 {summary.p99:7.1f} ms  first {summary.first_p50:5.1f}/"
        f"{summary.first_p95:6.1f}  gap p95 {summary.gap_p95:5.1f}  "
        f"quality {summary.quality:.3f}  tries {summary.tries:.2f}"
    )


def _quantiles(values, points):
    if not values:
        return [0.0 for _ in points]
    return [float(value) * 1000 for value in numpy.percentile(values, points)]

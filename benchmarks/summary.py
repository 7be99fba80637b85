"""Summary statistics of one run of callers."""

import collections
from dataclasses import dataclass

import numpy


@dataclass
class Summary:
    """Results of a run of callers.

    Latencies are in milliseconds: ``p*`` of whole answers, ``first_p*`` of the first
    chunk and ``gap_p*`` between chunks. *goodput* is in answers per second. *quality*
    and *tries* are means; *errors* and *versions* are counts by name.
    """

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
    """Return the :class:`Summary` of all *samples* of a run."""
    answered_samples = [sample for sample in samples if sample.status == 200]
    latency_ms = _compute_percentiles_ms(
        [s.latency for s in answered_samples], (50, 95, 99)
    )
    first_token_ms = _compute_percentiles_ms(
        [s.first for s in answered_samples], (50, 95)
    )
    gap_ms = _compute_percentiles_ms(
        [gap for s in answered_samples for gap in s.gaps], (95,)
    )
    ratings = [s.quality for s in answered_samples if s.quality >= 0]
    return Summary(
        asked=len(samples),
        answered=len(answered_samples),
        goodput=len(answered_samples) / duration_s,
        p50=latency_ms[0],
        p95=latency_ms[1],
        p99=latency_ms[2],
        first_p50=first_token_ms[0],
        first_p95=first_token_ms[1],
        gap_p95=gap_ms[0],
        quality=float(numpy.mean(ratings)) if ratings else 0.0,
        tries=float(numpy.mean([s.tries for s in samples])) if samples else 0.0,
        errors=dict(collections.Counter(s.error for s in samples if s.status != 200)),
        versions=dict(collections.Counter(s.version for s in answered_samples)),
    )


def format_summary(name, summary):
    """Return *summary* as a human-readable line."""
    return (
        f"{name:28} answered {summary.answered}/{summary.asked} "
        f"{summary.goodput:6.1f}/s  p50 {summary.p50:6.1f} p95 {summary.p95:7.1f} "
        f"p99 {summary.p99:7.1f} ms  first {summary.first_p50:5.1f}/"
        f"{summary.first_p95:6.1f}  gap p95 {summary.gap_p95:5.1f}  "
        f"quality {summary.quality:.3f}  tries {summary.tries:.2f}"
    )


def _compute_percentiles_ms(values, percentiles):
    if not values:
        return [0.0 for _ in percentiles]
    return [float(value) * 1000 for value in numpy.percentile(values, percentiles)]

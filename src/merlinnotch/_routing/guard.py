"""Finding versions that have turned bad."""

import math
from dataclasses import dataclass, field

from .._peers import Tally

BASELINE_RATED = 60
BASELINE_FULL = 200
EXPECTED_ERROR_RATE = 0.02
MIN_DEVIATION = 0.1
MAX_DEVIATION = 0.5


@dataclass(frozen=True)
class Alarm:
    """A version that failed the test, and why."""

    version: str
    kind: str
    reason: str


@dataclass
class _Series:
    """The tests of one version on one kind."""

    seen: Tally = field(default_factory=Tally)
    baseline: Tally = field(default_factory=Tally)
    error_score: float = 0.0
    quality_score: float = 0.0


class VersionGuard:
    """Cumulative-sum tests on errors and ratings, summed over the fleet.

    Each series adds up log-likelihood ratios of "bad" against "as before" and
    never falls below zero; an alarm comes at ``ln(1 / false_alarm)``, so that
    a good series is expected to go at least ``1 / false_alarm`` observations
    without one (Page's test with Lorden's bound). Ratings are held against
    the version's own first ratings, or against a sibling's while it has few.
    *drop* is the loss of quality to find, *error_rate* that of a bad version.
    """

    def __init__(self, drop=0.2, error_rate=0.5, false_alarm=1e-4):
        self._series = {}
        self.tune(drop, error_rate, false_alarm)

    def tune(self, drop, error_rate, false_alarm):
        """Take an operator's numbers; what was learned of versions stays."""
        self._drop = drop
        self._error_rate = error_rate
        self._threshold = math.log(1 / false_alarm)

    def observe(self, tallies, siblings=None):
        """Take fleet-wide tallies and return the list of new :class:`Alarm`.

        *tallies* maps (version id, kind) to :class:`Tally`; *siblings* maps a
        version id to the id of the version it is to be held against.
        """
        alarms = []
        for (version, kind), tally in tallies.items():
            series = self._series.setdefault((version, kind), _Series())
            change = tally.subtract(series.seen)
            # Counts shrink when an instance's are dropped; start from there.
            series.seen = tally
            if min(change.answers, change.errors, change.rated) < 0:
                continue
            reason = self._test_errors(series, change)
            reason = reason or self._test_quality(
                series, change, version, kind, siblings
            )
            if reason:
                alarms.append(Alarm(version, kind, reason))
        return alarms

    def reset(self, version):
        """Start over with *version* from here, once an operator clears it."""
        for key, series in self._series.items():
            if key[0] == version:
                self._series[key] = _Series(seen=series.seen)

    def _test_errors(self, series, change):
        bad = math.log(self._error_rate / EXPECTED_ERROR_RATE)
        good = math.log((1 - self._error_rate) / (1 - EXPECTED_ERROR_RATE))
        score = change.errors * bad + change.answers * good
        series.error_score = max(0.0, series.error_score + score)
        return "errors" if series.error_score > self._threshold else None

    def _test_quality(self, series, change, version, kind, siblings):
        if not change.rated:
            return None
        reference = self._find_reference(series, version, kind, siblings)
        if series.baseline.rated < BASELINE_FULL:
            series.baseline = series.baseline.add(change)
        if reference is None:
            return None
        mean = reference.score_sum / reference.rated
        variance = reference.score_squares / reference.rated - mean**2
        deviation = min(
            MAX_DEVIATION, max(MIN_DEVIATION, math.sqrt(max(variance, 0.0)))
        )
        halfway = change.rated * (mean - self._drop / 2)
        score = self._drop / deviation**2 * (halfway - change.score_sum)
        series.quality_score = max(0.0, series.quality_score + score)
        return "quality" if series.quality_score > self._threshold else None

    def _find_reference(self, series, version, kind, siblings):
        if series.baseline.rated >= BASELINE_RATED:
            return series.baseline
        sibling = (siblings or {}).get(version)
        other = self._series.get((sibling, kind))
        if other and other.baseline.rated >= BASELINE_RATED:
            return other.baseline
        return None

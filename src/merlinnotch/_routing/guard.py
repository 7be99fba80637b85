"""Detection of versions whose quality or error rate has degraded."""

import math
from dataclasses import dataclass, field

from .._peers import Tally

MIN_BASELINE_RATINGS = 60
MAX_BASELINE_RATINGS = 200
BASELINE_ERROR_RATE = 0.02
MIN_DEVIATION = 0.1
MAX_DEVIATION = 0.5


@dataclass(frozen=True)
class Alarm:
    """A version that failed a test on one kind of request.

    *reason* names the test, "errors" or "quality".
    """

    version: str
    kind: str
    reason: str


@dataclass
class _TestState:
    """State of the tests of one version on one kind of request."""

    last_tally: Tally = field(default_factory=Tally)
    baseline: Tally = field(default_factory=Tally)
    error_cusum: float = 0.0
    quality_cusum: float = 0.0


class VersionGuard:
    """CUSUM tests on the fleet-wide errors and ratings of versions.

    Each test sums the log-likelihood ratios of the degraded against the normal state,
    with a minimum of zero, and raises an alarm above ``ln(1 / false_alarm_rate)``. The
    mean number of observations between false alarms is then at least
    ``1 / false_alarm_rate`` (Page's test with Lorden's bound). Ratings are compared
    with the version's own first ratings, or with a sibling's until it has enough.
    *quality_drop* is the loss of quality to detect, *error_rate* that of a
    degraded version.
    """

    def __init__(self, quality_drop=0.2, error_rate=0.5, false_alarm_rate=1e-4):
        self._states = {}
        self.tune(quality_drop, error_rate, false_alarm_rate)

    def tune(self, quality_drop, error_rate, false_alarm_rate):
        """Set the parameters of the tests; the state of the tests is kept."""
        self._quality_drop = quality_drop
        self._error_rate = error_rate
        self._threshold = math.log(1 / false_alarm_rate)

    def observe(self, tallies, siblings=None):
        """Update the tests with fleet-wide tallies; return a list of :class:`Alarm`.

        *tallies* maps (version id, kind) to the cumulative :class:`Tally`; *siblings*
        maps a version id to the id of the version that it is compared with.
        """
        alarms = []
        for (version, kind), tally in tallies.items():
            state = self._states.setdefault((version, kind), _TestState())
            delta = tally.subtract(state.last_tally)
            # Counts shrink if the tally of an instance is removed from the sum.
            state.last_tally = tally
            if min(delta.answers, delta.errors, delta.rated) < 0:
                continue
            reason = self._test_errors(state, delta)
            reason = reason or self._test_quality(state, delta, version, kind, siblings)
            if reason:
                alarms.append(Alarm(version, kind, reason))
        return alarms

    def reset(self, version):
        """Reset the tests of *version*, as after an operator has cleared it."""
        for key, state in self._states.items():
            if key[0] == version:
                self._states[key] = _TestState(last_tally=state.last_tally)

    def _test_errors(self, state, delta):
        error_weight = math.log(self._error_rate / BASELINE_ERROR_RATE)
        success_weight = math.log((1 - self._error_rate) / (1 - BASELINE_ERROR_RATE))
        score = delta.errors * error_weight + delta.answers * success_weight
        state.error_cusum = max(0.0, state.error_cusum + score)
        return "errors" if state.error_cusum > self._threshold else None

    def _test_quality(self, state, delta, version, kind, siblings):
        if not delta.rated:
            return None
        reference = self._find_reference(state, version, kind, siblings)
        if state.baseline.rated < MAX_BASELINE_RATINGS:
            state.baseline = state.baseline.add(delta)
        if reference is None:
            return None
        mean = reference.score_sum / reference.rated
        variance = reference.score_square_sum / reference.rated - mean**2
        deviation = min(
            MAX_DEVIATION, max(MIN_DEVIATION, math.sqrt(max(variance, 0.0)))
        )
        midpoint_sum = delta.rated * (mean - self._quality_drop / 2)
        score = self._quality_drop / deviation**2 * (midpoint_sum - delta.score_sum)
        state.quality_cusum = max(0.0, state.quality_cusum + score)
        return "quality" if state.quality_cusum > self._threshold else None

    def _find_reference(self, state, version, kind, siblings):
        if state.baseline.rated >= MIN_BASELINE_RATINGS:
            return state.baseline
        sibling = (siblings or {}).get(version)
        sibling_state = self._states.get((sibling, kind))
        if sibling_state and sibling_state.baseline.rated >= MIN_BASELINE_RATINGS:
            return sibling_state.baseline
        return None

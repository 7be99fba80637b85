"""Failures of a new version, compared with the background of the other versions.

The background is the failure rate of the other versions on the same route at the same
time. Faults are independent of it: a version that fails a fraction f of its answers
fails 1 - (1 - background) * (1 - f) of them, which is less than the sum of both.
"""

import math
from dataclasses import dataclass, field

from .tallies import Tally

MIN_PAIRED_RATIO = 0.5
"""Answers of the other versions per answer of the new one that show the background."""


@dataclass(frozen=True)
class FailureCounts:
    """Answers of a new version and the failures that the background explains.

    *paired* counts the answers with a known background, *background* the failures to
    expect among them, and *variance* that of the estimate. *unpaired* counts the
    answers given while the other versions gave too few to show a background.
    """

    paired: Tally = field(default_factory=Tally)
    background: float = 0.0
    variance: float = 0.0
    unpaired: Tally = field(default_factory=Tally)

    @property
    def total(self):
        """The :class:`Tally` of all answers."""
        return self.paired.add(self.unpaired)

    def add(self, other):
        """Return the sum."""
        return FailureCounts(
            self.paired.add(other.paired),
            self.background + other.background,
            self.variance + other.variance,
            self.unpaired.add(other.unpaired),
        )

    def get_lowest_rate(self, fault_rate):
        """Return the least failure rate of a version with *fault_rate*.

        All failures of unpaired answers count as the version's own.
        """
        background = self.background - math.sqrt(self.variance)
        return self._combine(fault_rate, max(0.0, background))

    def get_highest_rate(self, fault_rate, background_factor, unpaired_rate):
        """Return the greatest failure rate of a version with *fault_rate*.

        The background may be *background_factor* times as high for the new version.
        *unpaired_rate* is the background of unpaired answers.
        """
        background = self.background + unpaired_rate * self.unpaired.answers
        return self._combine(
            fault_rate, background_factor * background + math.sqrt(self.variance)
        )

    def _combine(self, fault_rate, background):
        answers = self.total.answers
        if not answers:
            return fault_rate
        return combine_rates(min(1.0, background / answers), fault_rate)


def combine_rates(background_rate, fault_rate):
    """Return the failure rate of independent faults."""
    return 1.0 - (1.0 - background_rate) * (1.0 - fault_rate)


def compare_failures(new, old):
    """Return :class:`FailureCounts` of the :class:`Tally` pairs of one time window."""
    if old.answers < MIN_PAIRED_RATIO * new.answers:
        return FailureCounts(unpaired=new)
    if not new.answers:
        return FailureCounts()
    # Without the additional half, a rate of zero would count as exactly known.
    smoothed_rate = (old.bad + 0.5) / (old.answers + 1)
    return FailureCounts(
        new,
        new.answers * old.bad / old.answers,
        new.answers**2 * smoothed_rate * (1 - smoothed_rate) / old.answers,
    )

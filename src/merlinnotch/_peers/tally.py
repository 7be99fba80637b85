"""Counts of what became of a version's answers."""

from dataclasses import dataclass, fields


@dataclass(frozen=True)
class Tally:
    """Grow-only counts of one incarnation of one instance.

    *score_sum* and *score_squares* sum the ratings and their squares;
    *accepted* and *accepted_sum* count and sum those that met the target of
    the kind.
    """

    answers: int = 0
    errors: int = 0
    rated: int = 0
    score_sum: float = 0.0
    score_squares: float = 0.0
    accepted: int = 0
    accepted_sum: float = 0.0

    def add(self, other):
        """Return the sum of both."""
        return Tally(*(getattr(self, n) + getattr(other, n) for n in _NAMES))

    def subtract(self, other):
        """Return what was counted since *other*."""
        return Tally(*(getattr(self, n) - getattr(other, n) for n in _NAMES))


_NAMES = tuple(field.name for field in fields(Tally))


@dataclass(frozen=True)
class InstanceTally:
    """One instance's word about its tally.

    A restarted instance goes on from what its predecessor counted, so
    *incarnation* only breaks ties with words from before the restart.
    """

    incarnation: int
    tally: Tally

    @property
    def order(self):
        """Later words of an instance have a larger order."""
        counted = self.tally.answers + self.tally.errors + self.tally.rated
        return (self.incarnation, counted)

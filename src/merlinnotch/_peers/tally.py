"""Counts of the outcomes of a version's answers."""

from dataclasses import dataclass, fields


@dataclass(frozen=True)
class Tally:
    """Grow-only counts of one instance.

    *score_sum* and *score_square_sum* are the sums of the ratings and of their
    squares. *accepted* and *accepted_sum* are the count and the sum of the
    ratings that met the target of their kind of request.
    """

    answers: int = 0
    errors: int = 0
    rated: int = 0
    score_sum: float = 0.0
    score_square_sum: float = 0.0
    accepted: int = 0
    accepted_sum: float = 0.0

    def add(self, other):
        """Return the sum of both tallies."""
        return Tally(
            *(getattr(self, name) + getattr(other, name) for name in _FIELD_NAMES)
        )

    def subtract(self, other):
        """Return what was counted since *other*, an earlier tally."""
        return Tally(
            *(getattr(self, name) - getattr(other, name) for name in _FIELD_NAMES)
        )


_FIELD_NAMES = tuple(field.name for field in fields(Tally))


@dataclass(frozen=True)
class InstanceTally:
    """The tally that an instance publishes.

    A restarted instance continues its predecessor's counts; its greater
    *incarnation* puts its tallies after those from before the restart.
    """

    incarnation: int
    tally: Tally

    @property
    def order(self):
        """Sort key; later tallies of an instance have a greater one."""
        total = self.tally.answers + self.tally.errors + self.tally.rated
        return (self.incarnation, total)

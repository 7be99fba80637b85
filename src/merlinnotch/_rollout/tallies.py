"""Counts of answers by version, summed over instances without double counting."""

from dataclasses import dataclass


@dataclass(frozen=True)
class TallyKey:
    """What is counted together: answers of one version on one route.

    *order* is the index of the roll-out's order, so that counts of an earlier
    one that a peer still tells don't mix with those of this one.
    """

    service: str
    version: str
    route: str
    order: int


@dataclass(frozen=True)
class Tally:
    """Answers and, among them, failed and slow ones. All only grow."""

    answers: int = 0
    bad: int = 0
    slow: int = 0

    def add(self, other):
        """Return the sum."""
        return Tally(
            self.answers + other.answers,
            self.bad + other.bad,
            self.slow + other.slow,
        )

    def join(self, other):
        """Return the later state of the same counter."""
        return Tally(
            max(self.answers, other.answers),
            max(self.bad, other.bad),
            max(self.slow, other.slow),
        )


class TallyBook:
    """Grow-only counters of every instance, merged by maximum.

    *incarnation* names this process; a restarted one counts anew under another
    name. A merged state may arrive twice and in any order.
    """

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.counts = {}
        self.changed = False

    def note(self, key, bad, slow=False):
        """Count one answer seen by this instance."""
        own = self.counts.setdefault(key, {})
        step = Tally(1, int(bad), int(slow))
        own[self.incarnation] = own.get(self.incarnation, Tally()).add(step)
        self.changed = True

    def merge(self, key, incarnation, tally):
        """Take the state of another instance's counter."""
        known = self.counts.setdefault(key, {}).get(incarnation, Tally())
        joined = known.join(tally)
        if joined != known:
            self.counts[key][incarnation] = joined
            self.changed = True

    def sum(self, key):
        """Return the :class:`Tally` of all instances that were heard of."""
        total = Tally()
        for tally in self.counts.get(key, {}).values():
            total = total.add(tally)
        return total

    def list_keys(self, order):
        """Return the keys that were counted for a :class:`RolloutOrder`."""
        wanted = (order.service, order.index)
        return [key for key in self.counts if (key.service, key.order) == wanted]

    def count_answers(self, order, version=None):
        """Return the answers since *order*, of one version or of all."""
        return sum(
            self.sum(key).answers
            for key in self.list_keys(order)
            if version in (None, key.version)
        )

    def list_rows(self, order):
        """Return (key, incarnation, tally) of every counter of *order*."""
        return [
            (key, incarnation, tally)
            for key in self.list_keys(order)
            for incarnation, tally in self.counts[key].items()
        ]

    def forget_before(self, order):
        """Drop the counts of earlier orders for the same service."""
        for key in list(self.counts):
            if key.service == order.service and key.order < order.index:
                del self.counts[key]

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
    """Answers and, among them, failed ones. Both only grow."""

    answers: int = 0
    bad: int = 0

    def add(self, other):
        """Return the sum."""
        return Tally(self.answers + other.answers, self.bad + other.bad)

    def subtract(self, other):
        """Return the difference."""
        return Tally(self.answers - other.answers, self.bad - other.bad)

    def join(self, other):
        """Return the later state of the same counter."""
        return Tally(max(self.answers, other.answers), max(self.bad, other.bad))


class TallyBook:
    """Grow-only counters of every instance, merged by maximum.

    Keys are :class:`TallyKey` or :class:`TimeKey`, of one kind a book.
    *incarnation* names this process; a restarted one counts anew under another
    name. A merged state may arrive twice and in any order.
    """

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self._changed = set()
        self._counts = {}
        self._totals = {}

    def note(self, key, bad=False):
        """Count one answer seen by this instance."""
        self._add(key, self.incarnation, Tally(1, int(bad)))
        self._changed.add(key)

    def merge(self, key, incarnation, tally):
        """Take the state of another instance's counter."""
        known = self._counts.get(key, {}).get(incarnation, Tally())
        later = known.join(tally)
        if later != known:
            self._add(key, incarnation, later.subtract(known))

    def sum(self, key):
        """Return the :class:`Tally` of all instances that were heard of."""
        return self._totals.get(key, Tally())

    def list_keys(self, order):
        """Return the keys that were counted for a :class:`RolloutOrder`."""
        wanted = (order.service, order.index)
        return [key for key in self._totals if (key.service, key.order) == wanted]

    def count_answers(self, order, version=None):
        """Return the answers since *order*, of one version or of all."""
        return sum(
            self.sum(key).answers
            for key in self.list_keys(order)
            if version in (None, key.version)
        )

    def list_own(self, order):
        """Return (key, tally) of what this instance counted for *order*."""
        return [
            (key, self._counts[key][self.incarnation])
            for key in self.list_keys(order)
            if self.incarnation in self._counts[key]
        ]

    def take_changed(self, order):
        """Return the own keys that changed since this was asked for *order*."""
        wanted = (order.service, order.index)
        changed = {key for key in self._changed if (key.service, key.order) == wanted}
        self._changed -= changed
        return changed

    def get_own(self, key):
        """Return what this instance counted for *key*."""
        return self._counts[key][self.incarnation]

    def forget_before(self, order):
        """Drop the counts of earlier orders for the same service."""
        for key in list(self._counts):
            if key.service == order.service and key.order < order.index:
                del self._counts[key]
                del self._totals[key]
                self._changed.discard(key)

    def _add(self, key, incarnation, step):
        counts = self._counts.setdefault(key, {})
        counts[incarnation] = counts.get(incarnation, Tally()).add(step)
        # A judge of 72 instances looks at the sums four times a second.
        self._totals[key] = self.sum(key).add(step)

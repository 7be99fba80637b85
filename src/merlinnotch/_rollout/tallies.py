"""Counts of answers by version, replicated between instances."""

from dataclasses import dataclass


@dataclass(frozen=True)
class TallyKey:
    """A version and route whose answers are counted together.

    *order* is the index of the rollout's order. It separates the counts from those of
    an earlier order that a peer may still send.
    """

    service: str
    version: str
    route: str
    order: int


@dataclass(frozen=True)
class Tally:
    """Counts of all answers and of the bad ones among them. Both only grow."""

    answers: int = 0
    bad: int = 0

    def add(self, other):
        """Return the sum."""
        return Tally(self.answers + other.answers, self.bad + other.bad)

    def subtract(self, other):
        """Return the difference."""
        return Tally(self.answers - other.answers, self.bad - other.bad)

    def merge(self, other):
        """Return the later state of the same counter."""
        return Tally(max(self.answers, other.answers), max(self.bad, other.bad))


class ReplicatedCounters:
    """Grow-only counters of all instances, merged by maximum (a G-Counter CRDT).

    All keys of one object are either :class:`TallyKey` or :class:`TimeKey`.
    *incarnation* is the unique name of this process; a restarted process counts from
    zero under a new name. Merging is idempotent and independent of the order.
    """

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self._changed_keys = set()
        self._tallies = {}
        self._totals = {}

    def count(self, key, bad=False):
        """Count one answer received by this instance."""
        self._add(key, self.incarnation, Tally(1, int(bad)))
        self._changed_keys.add(key)

    def merge(self, key, incarnation, tally):
        """Merge the state of another instance's counter."""
        known = self._tallies.get(key, {}).get(incarnation, Tally())
        later = known.merge(tally)
        if later != known:
            self._add(key, incarnation, later.subtract(known))

    def sum(self, key):
        """Return the :class:`Tally` over all known instances."""
        return self._totals.get(key, Tally())

    def list_keys(self, order):
        """Return the keys counted for a :class:`RolloutOrder`."""
        wanted = (order.service, order.index)
        return [key for key in self._totals if (key.service, key.order) == wanted]

    def count_answers(self, order, version=None):
        """Return the number of answers since *order*, of one version or of all."""
        return sum(
            self.sum(key).answers
            for key in self.list_keys(order)
            if version in (None, key.version)
        )

    def count_bad(self, order):
        """Return the bad answers of the target of *order* over all known processes."""
        keys = self._list_target_keys(order)
        return sum(self.sum(key).bad for key in keys)

    def count_local_bad(self, order):
        """Return the bad answers of the target that this process counted."""
        return sum(
            self._tallies[key].get(self.incarnation, Tally()).bad
            for key in self._list_target_keys(order)
        )

    def count_incarnations(self, order):
        """Return how many processes, running or ended, counted answers for *order*."""
        return len({i for key in self.list_keys(order) for i in self._tallies[key]})

    def list_local(self, order):
        """Return (key, tally) pairs that this instance counted for *order*."""
        return [
            (key, self._tallies[key][self.incarnation])
            for key in self.list_keys(order)
            if self.incarnation in self._tallies[key]
        ]

    def pop_changed(self, order):
        """Return this instance's keys that changed since the last call for *order*."""
        wanted = (order.service, order.index)
        changed = {
            key for key in self._changed_keys if (key.service, key.order) == wanted
        }
        self._changed_keys -= changed
        return changed

    def get_local(self, key):
        """Return the :class:`Tally` that this instance counted for *key*.

        Raises :class:`KeyError` if it counted none.
        """
        return self._tallies[key][self.incarnation]

    def delete_before(self, order):
        """Delete the counts of earlier orders for the same service."""
        for key in list(self._tallies):
            if key.service == order.service and key.order < order.index:
                del self._tallies[key]
                del self._totals[key]
                self._changed_keys.discard(key)

    def _list_target_keys(self, order):
        return [key for key in self.list_keys(order) if key.version == order.target]

    def _add(self, key, incarnation, increment):
        tallies = self._tallies.setdefault(key, {})
        tallies[incarnation] = tallies.get(incarnation, Tally()).add(increment)
        # Kept up to date so that frequent reads don't add up all instances.
        self._totals[key] = self.sum(key).add(increment)

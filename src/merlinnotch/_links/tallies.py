"""Counting what became of versions' answers."""

from .._peers import InstanceTally, Tally
from .gossiper import TALLY

PUBLISH_AFTER_ROUNDS = 3


class Tallies:
    """Our own counts, and the fleet's.

    Before it publishes its own, an instance hears what its predecessor of the
    same name had counted, and goes on from there.
    """

    def __init__(self, settings, gossiper, incarnation):
        self._instance = settings.instance
        self._incarnation = incarnation
        self._gossiper = gossiper
        self._inherited = {}
        self._own = {}
        self._changed = set()
        gossiper.listen(TALLY, self._inherit)

    def count(self, version_id, kind, change):
        """Add *change*, a :class:`Tally`, to our own counts."""
        key = (version_id, kind)
        self._own[key] = self._own.get(key, Tally()).add(change)
        self._changed.add(key)

    def publish(self):
        """Spread the counts that changed, once predecessors could be heard."""
        if self._gossiper.rounds < PUBLISH_AFTER_ROUNDS:
            return
        changed, self._changed = self._changed, set()
        for key in changed:
            tally = self._own[key].add(self._inherited.get(key, Tally()))
            word = InstanceTally(self._incarnation, tally)
            self._gossiper.publish(TALLY, (self._instance, *key), word)

    def sum_fleet(self):
        """Return the fleet's :class:`Tally` of each (version id, kind)."""
        sums = {}
        for key, word in self._gossiper.words.select(TALLY):
            cell = key[2:]
            sums[cell] = sums.get(cell, Tally()).add(word.tally)
        return sums

    def _inherit(self, key, word):
        if key[1] == self._instance and word.incarnation < self._incarnation:
            self._inherited[key[2:]] = word.tally


def sum_by_version(tallies):
    """Return tallies of (version id, kind) summed over kinds."""
    sums = {}
    for (version_id, _), tally in tallies.items():
        sums[version_id] = sums.get(version_id, Tally()).add(tally)
    return sums

"""Counts of the outcomes of versions' answers."""

from .._peers import InstanceTally, Tally
from .gossiper import TALLY

MIN_ROUNDS_TO_PUBLISH = 3


class Tallies:
    """The counts of this instance, and their sums over the fleet.

    After a restart, an instance first receives the counts of its previous
    incarnation from its peers and adds its own to them.
    """

    def __init__(self, settings, gossiper, incarnation):
        self._instance = settings.instance
        self._incarnation = incarnation
        self._gossiper = gossiper
        self._inherited_tallies = {}
        self._own_tallies = {}
        self._changed_keys = set()
        gossiper.add_listener(TALLY, self._record_inherited_tally)

    def count(self, version_id, kind, increment):
        """Add *increment*, a :class:`Tally`, to the counts of this instance."""
        key = (version_id, kind)
        self._own_tallies[key] = self._own_tallies.get(key, Tally()).add(increment)
        self._changed_keys.add(key)

    def publish(self):
        """Publish the changed counts, after the first rounds of gossip."""
        if self._gossiper.round_count < MIN_ROUNDS_TO_PUBLISH:
            return
        changed_keys, self._changed_keys = self._changed_keys, set()
        for key in changed_keys:
            tally = self._own_tallies[key].add(
                self._inherited_tallies.get(key, Tally())
            )
            value = InstanceTally(self._incarnation, tally)
            self._gossiper.publish(TALLY, (self._instance, *key), value)

    def sum_fleet(self):
        """Return the fleet's :class:`Tally` by (version id, kind)."""
        totals = {}
        for key, value in self._gossiper.state.select(TALLY):
            version_and_kind = key[2:]
            totals[version_and_kind] = totals.get(version_and_kind, Tally()).add(
                value.tally
            )
        return totals

    def _record_inherited_tally(self, key, value):
        if key[1] == self._instance and value.incarnation < self._incarnation:
            self._inherited_tallies[key[2:]] = value.tally


def sum_by_version(tallies):
    """Return the sums over kinds, by version id, of tallies by (version id, kind)."""
    totals = {}
    for (version_id, _), tally in tallies.items():
        totals[version_id] = totals.get(version_id, Tally()).add(tally)
    return totals

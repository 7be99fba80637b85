"""This instance's share of the fleet's retry slack."""

from .._gateway import share_slack
from .ranking import InstanceRanking

MIN_FLEET_SIZE = 8
"""Least number of instances that the retry slack is divided by; at start-up few peers
have registered yet."""


class OwnSlack:
    """Shares *fleet_slack* among the present instances of *view*, by service.

    *name* is this instance, *started_at* when its process was started. It has no share
    in its first *window_s*: what its predecessor spent is unknown and still counts.
    """

    def __init__(self, fleet_slack, name, view, started_at, window_s):
        self._fleet_slack = fleet_slack
        self._shared_from = started_at + window_s
        self._name = name
        self._peers = view.peer_directory
        self._ranking = InstanceRanking(name, view)
        self._shares = {}
        self._counted_changes = None

    def get(self, service, now):
        """Return the retries that this instance may make in a window at *now*."""
        if now < self._shared_from:
            return 0.0
        if self._counted_changes != self._peers.change_count:
            self._counted_changes = self._peers.change_count
            self._shares.clear()
        share = self._shares.get(service)
        if share is None:
            share = self._shares[service] = self._compute(service)
        return share

    def _compute(self, service):
        ranked_names = self._ranking.rank(service)
        size = max(MIN_FLEET_SIZE, len(ranked_names))
        return share_slack(self._fleet_slack, size, ranked_names.index(self._name))

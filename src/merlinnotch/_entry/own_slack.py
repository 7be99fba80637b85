"""This instance's share of the fleet's retry slack."""

from .._gateway import share_slack
from .._rendezvous_hashing import rank_names

MIN_FLEET_SIZE_AT_START = 8
"""Least number of instances that the retry slack is divided by at start-up, when few
peers may have registered yet."""
START_UP_S = 60.0
"""Time in which the peers have registered: twice their lease."""


class OwnSlack:
    """Shares *fleet_slack* among the instances of *view*, by service.

    Absent instances keep their share for a time: what they spent still counts, and they
    may be cut off and go on. *name* is this instance, *started_at* when its process was
    started. It has no share in its first *window_s*: what its predecessor spent is
    unknown and still counts.
    """

    def __init__(self, fleet_slack, name, view, started_at, window_s):
        self._fleet_slack = fleet_slack
        self._shared_from = started_at + window_s
        self._started_until = started_at + START_UP_S
        self._name = name
        self._peers = view.peer_directory
        self._shares = {}
        self._shared_by = None

    def get(self, service, now):
        """Return the retries that this instance may make in a window at *now*."""
        if now < self._shared_from:
            return 0.0
        names = self._peers.list_known_names(now) | {self._name}
        min_size = MIN_FLEET_SIZE_AT_START if now < self._started_until else 1
        size = max(min_size, len(names))
        if (names, size) != self._shared_by:
            self._shared_by = names, size
            self._shares.clear()
        share = self._shares.get(service)
        if share is None:
            rank = rank_names(service, names).index(self._name)
            share = self._shares[service] = share_slack(self._fleet_slack, size, rank)
        return share

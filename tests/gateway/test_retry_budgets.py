"""The retry slack of a fleet, shared by its instances."""

import types

import pytest

from merlinnotch._entry.gateway_parts import build_retry_budgets
from merlinnotch._entry.settings import RetrySettings
from merlinnotch._fleet import PeerAddress
from merlinnotch._fleet.peers import PeerDirectory

SERVICE = "app"
SLACK = 20.0
WINDOW_S = 10.0
NOW = 5000.0
LONG_S = 3600.0


class Fleet:
    """Instances that know each other, each with its retry budgets."""

    def __init__(self, size):
        self.peers = PeerDirectory()
        self.budgets = []
        self.grow(size)

    def grow(self, size):
        """Add instances up to *size*."""
        for number in range(len(self.budgets), size):
            name = f"instance-{number}"
            self.peers.mark_present(PeerAddress(name, "zone-a", "10.0.0.1:1"))
            view = types.SimpleNamespace(
                peers=self.peers.peers_by_name,
                peer_directory=self.peers,
                list_present_peers=self.peers.list_present,
            )
            settings = RetrySettings(0.1, SLACK, WINDOW_S)
            budgets = build_retry_budgets(name, settings, view, NOW - LONG_S)
            self.budgets.append(budgets)

    def count_retries(self, now):
        """Return the retries of all instances without any first attempt."""
        count = 0
        for budgets in self.budgets:
            while budgets.get(SERVICE, now).try_acquire(now):
                count += 1
        return count


@pytest.mark.parametrize("size", [1, 8, 40, 300])
def test_instances_together_do_not_exceed_the_slack(size):
    assert 1 <= Fleet(size).count_retries(NOW) <= SLACK


def test_fleet_larger_than_the_slack_uses_most_of_it():
    assert Fleet(300).count_retries(NOW) >= 0.8 * SLACK


def test_grown_fleet_does_not_exceed_the_slack():
    fleet = Fleet(8)
    fleet.count_retries(NOW)
    fleet.grow(40)
    assert fleet.count_retries(NOW + 2 * WINDOW_S) <= SLACK

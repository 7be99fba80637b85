"""The retry slack of a fleet, shared by its instances."""

import types

import pytest

from merlinnotch._entry.gateway_parts import build_retry_budgets
from merlinnotch._entry.settings import RetrySettings
from merlinnotch._fleet import PeerAddress
from merlinnotch._fleet.peers import PeerDirectory

SERVICE = "app"
RATIO = 0.9
SLACK = 54.0
WINDOW_S = 10.0
NOW = 5000.0
LONG_S = 3600.0
TICK_S = 0.5
REQUESTS_PER_S = 6


class Member:
    """One instance: the peers that it knows, and its budgets."""

    def __init__(self, name, peers, started_at, slack, ratio):
        self.name = name
        self.directory = PeerDirectory()
        for peer in peers:
            self.see(peer)
        view = types.SimpleNamespace(
            peers=self.directory.peers_by_name,
            peer_directory=self.directory,
            list_present_peers=self.directory.list_present,
        )
        settings = RetrySettings(ratio, slack, WINDOW_S)
        self.budgets = build_retry_budgets(name, settings, view, started_at)

    def see(self, name):
        """Learn that *name* is present."""
        self.directory.mark_present(PeerAddress(name, "zone-a", "10.0.0.1:1"))

    def spend_all(self, now):
        """Retry as often as the budget allows and return how often."""
        count = 0
        while self.budgets.get(SERVICE, now).try_acquire(now):
            count += 1
        return count


class Fleet:
    """Instances that know each other and retry as often as they may."""

    def __init__(self, size, slack=SLACK, ratio=0.1, started_at=NOW - LONG_S):
        self._slack = slack
        self._ratio = ratio
        self.members = {}
        self.retries = []
        self.first_attempts = []
        self.grow(size, started_at)

    @property
    def names(self):
        return list(self.members)

    def grow(self, size, now):
        """Add instances up to *size* that are started at *now*."""
        for number in range(len(self.members), size):
            self.start(f"instance-{number}", now)

    def start(self, name, now):
        """Start or restart *name* at *now*."""
        names = {*self.members, name}
        self.members[name] = Member(name, names, now, self._slack, self._ratio)
        for member in self.members.values():
            member.see(name)

    def restart_all(self, now):
        """Restart all instances at *now*."""
        for name in self.names:
            self.start(name, now)

    def remove(self, names, now):
        """End the leases of *names* at *now*, as the others see it."""
        for name in names:
            del self.members[name]
        for member in self.members.values():
            for name in names:
                member.directory.mark_absent(name, now)

    def divide(self, names, now):
        """Let *names* and the others lose sight of each other at *now*."""
        for member in self.members.values():
            for name in self.names:
                if (name in names) != (member.name in names):
                    member.directory.mark_absent(name, now)

    def spend(self, now):
        """Let all instances retry as often as they may at *now*."""
        for member in self.members.values():
            self.retries += [now] * member.spend_all(now)

    def serve(
        self,
        start,
        seconds,
        actions=(),
        fails_from=0.0,
        get_rate=lambda now: REQUESTS_PER_S,
    ):
        """Serve requests that all fail from *fails_from* on.

        *actions* are (time, action) pairs. *get_rate* returns the requests per second.
        """
        actions = sorted(actions, key=lambda pair: pair[0])
        members = 0
        due = 0.0
        for tick in range(int(seconds / TICK_S)):
            now = start + tick * TICK_S
            while actions and actions[0][0] <= now:
                _, action = actions.pop(0)
                action(self, now)
            due += get_rate(now) * TICK_S
            while due >= 1.0:
                due -= 1.0
                name = self.names[members % len(self.members)]
                members += 1
                budget = self.members[name].budgets.get(SERVICE, now)
                budget.record_first_attempt(now)
                self.first_attempts.append(now)
            if now >= fails_from:
                self.spend(now)

    def count_excess(self):
        """Return by how much the retries of any window exceed what is allowed."""
        starts = {time + shift for time in self.retries for shift in (0, -WINDOW_S)}
        return max(self._count_excess_from(start) for start in starts)

    def _count_excess_from(self, start):
        allowed = max(
            _count_within(self.first_attempts, start - shift)
            for shift in (0, WINDOW_S / 2, WINDOW_S)
        )
        retries = _count_within(self.retries, start)
        return retries - self._ratio * allowed - self._slack


def _count_within(times, start):
    return sum(start <= time < start + WINDOW_S for time in times)


@pytest.mark.parametrize("size", [1, 8, 40, 300])
def test_instances_together_do_not_exceed_the_slack(size):
    fleet = Fleet(size, slack=20.0)
    fleet.spend(NOW)
    assert 1 <= len(fleet.retries) <= 20.0


def test_fleet_larger_than_the_slack_uses_most_of_it():
    fleet = Fleet(300, slack=20.0)
    fleet.spend(NOW)
    assert len(fleet.retries) >= 0.8 * 20.0


def test_grown_fleet_does_not_exceed_the_slack():
    fleet = Fleet(8, slack=20.0)
    fleet.spend(NOW)
    fleet.grow(40, NOW)
    fleet.retries.clear()
    fleet.spend(NOW + 2 * WINDOW_S)
    assert len(fleet.retries) <= 20.0


SIZES = [4, 8, 60, 300]


@pytest.mark.parametrize("size", SIZES)
def test_most_of_the_slack_is_used_where_nothing_restarts(size):
    fleet = Fleet(size)
    fleet.spend(NOW)
    assert 0.8 * SLACK <= len(fleet.retries) <= SLACK


@pytest.mark.parametrize("gap_s", [3.0, 4.5])
@pytest.mark.parametrize("ratio", [0.1, RATIO])
@pytest.mark.parametrize("size", SIZES)
def test_restarts_in_one_window_do_not_grant_the_slack_again(size, ratio, gap_s):
    fleet = Fleet(size, ratio=ratio)
    restarts = [(NOW + 5.0 + gap_s * n, Fleet.restart_all) for n in range(3)]
    fleet.serve(NOW, 40.0, restarts)
    assert fleet.count_excess() <= 0


@pytest.mark.parametrize("size", SIZES)
def test_restart_grants_no_retries_beside_those_for_requests_before_a_disruption(size):
    fleet = Fleet(size, ratio=RATIO)
    restarts = [(NOW + 14.0 + 3.0 * n, Fleet.restart_all) for n in range(3)]
    fleet.serve(NOW, 40.0, restarts, fails_from=NOW + 10.0)
    assert fleet.count_excess() <= 0


@pytest.mark.parametrize("rate", [6, 55])
@pytest.mark.parametrize("gap_s", [1.0, 2.0, 4.5, 8.0])
@pytest.mark.parametrize("size", [4, 8])
def test_restarts_amid_failures_grant_no_more_retries(size, gap_s, rate):
    fleet = Fleet(size, ratio=RATIO)
    restarts = [(NOW + 15.5 + gap_s * n, Fleet.restart_all) for n in range(4)]
    fleet.serve(NOW, 45.0, restarts, NOW + 10.0, lambda now: rate)
    assert fleet.count_excess() <= 0


@pytest.mark.parametrize("size", [4, 8])
def test_restarts_in_turn_amid_failures_grant_no_more_retries(size):
    fleet = Fleet(size, ratio=RATIO)
    restarts = [
        (NOW + 12.0 + 0.5 * n, lambda fleet, now, n=n: fleet.start(fleet.names[n], now))
        for n in [*range(size), *range(size)]
    ]
    fleet.serve(NOW, 45.0, restarts, NOW + 10.0, lambda now: 55)
    assert fleet.count_excess() <= 0


def test_restart_after_a_burst_grants_no_more_retries():
    fleet = Fleet(8, ratio=RATIO)
    restarts = [(NOW + 21.0, Fleet.restart_all)]
    get_rate = lambda now: 55 if now < NOW + 20.0 else 5.5  # noqa: E731
    fleet.serve(NOW, 45.0, restarts, NOW + 10.0, get_rate)
    assert fleet.count_excess() <= 0


@pytest.mark.parametrize("size", SIZES)
def test_started_fleet_uses_its_slack_after_a_window(size):
    fleet = Fleet(size, started_at=NOW)
    fleet.spend(NOW + WINDOW_S + TICK_S)
    # Few instances wait longer, as peers may still be starting.
    assert len(fleet.retries) >= (0.4 if size < 8 else 0.8) * SLACK


@pytest.mark.parametrize("left", [1, 8, 30])
def test_share_of_instances_that_leave_is_not_spent_twice(left):
    fleet = Fleet(60)
    leave = lambda fleet, now: fleet.remove(fleet.names[left:], now)  # noqa: E731
    fleet.serve(NOW, 40.0, [(NOW + 5.0, leave)])
    assert fleet.count_excess() <= 0


def test_share_of_instances_that_left_is_used_later():
    fleet = Fleet(60)
    fleet.remove(fleet.names[8:], NOW)
    fleet.spend(NOW + LONG_S)
    assert len(fleet.retries) >= 0.8 * SLACK


@pytest.mark.parametrize("part", [4, 17])
def test_parts_of_a_divided_fleet_do_not_exceed_the_slack(part):
    fleet = Fleet(34)
    divide = lambda fleet, now: fleet.divide(fleet.names[:part], now)  # noqa: E731
    fleet.serve(NOW, 60.0, [(NOW + 5.0, divide)])
    assert fleet.count_excess() <= 0

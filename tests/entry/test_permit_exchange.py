"""Permits between instances, with messages that are lost and late."""

import contextlib
import itertools

import eventlet
import pytest

from merlinnotch._entry.metrics import EntryMetrics
from merlinnotch._entry.permit_exchange import PermitExchange
from merlinnotch._fleet import PeerAddress, Upstream
from merlinnotch._fleet.peers import PeerDirectory
from merlinnotch._rate_limits import (
    ANSWER_TIMEOUT_S,
    NO_PERMIT_NEEDED,
    LimitBook,
    PermitSchedule,
)
from tests.entry.datagram_network import Network

NAMES = ("one", "two", "three")
LIMIT_PER_S = 2.0
UPSTREAM = Upstream("i-1", "app", "10.0.0.1:80", "zone-a", "v1", 4, started_ms=7)
START = UPSTREAM.start


class Clock:
    now = 100.0

    def read(self):
        return self.now


class View:
    """The part of the fleet view that permits need."""

    def __init__(self):
        self.peer_directory = PeerDirectory()
        self.peers = self.peer_directory.peers_by_name
        self.list_present_peers = self.peer_directory.list_present
        self.upstreams = {START: UPSTREAM}

    def find_start(self, start):
        return self.upstreams.get(start)


class Member:
    """An instance with its exchange, whose view it may lose."""

    def __init__(self, name, network, clock):
        self.view = View()
        self.book = LimitBook()
        self.schedule = PermitSchedule(self.book)
        self.metrics = EntryMetrics()
        self.is_connected = True
        for peer in NAMES:
            self.view.peer_directory.mark_present(PeerAddress(peer, "zone-a", peer))
        self.exchange = PermitExchange(
            network.add(name),
            name,
            name,
            self.view,
            self.book,
            self.schedule,
            clock.read,
            lambda: self.is_connected,
            lambda result: self.metrics.permits.labels(result).inc(),
        )

    def name_limit(self, per_s, asked_at, answered_at, permit=NO_PERMIT_NEEDED):
        """Handle a response that names *per_s*."""
        self.exchange.record_response(
            UPSTREAM, per_s, True, asked_at, answered_at, permit
        )

    def acquire(self, is_urgent=False):
        return self.exchange.acquire(UPSTREAM, is_urgent)

    def count_permits(self, result):
        return self.metrics.permits.labels(result)._value.get()


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def network():
    return Network()


@pytest.fixture
def members(network, clock):
    """Return the instances, the issuer for UPSTREAM first."""
    members = [Member(name, network, clock) for name in NAMES]
    return sorted(members, key=lambda m: m.exchange._name != find_issuer(members))


def find_issuer(members):
    return members[0].exchange._fleet.find_issuer(UPSTREAM)


@pytest.fixture
def issuer(members):
    return members[0]


@pytest.fixture
def asker(members):
    return members[1]


def test_unlimited_upstream_needs_no_permit(asker, network):
    assert asker.acquire() is NO_PERMIT_NEEDED
    assert network.sent_kinds == []


def test_limit_reaches_all_instances_once(members, asker, network, clock):
    asker.name_limit(LIMIT_PER_S, 99.0, clock.now)
    assert [member.book.get(START) for member in members] == [LIMIT_PER_S] * 3
    assert len(network.sent_kinds) == len(NAMES)


def test_permit_is_due_as_the_limit_says(asker, clock):
    asker.name_limit(LIMIT_PER_S, 99.0, clock.now)
    assert asker.acquire() is None
    wait_s = asker.schedule.get_wait_s(START, clock.now)
    assert 0.5 <= wait_s <= 0.6
    clock.now += wait_s
    permit = asker.acquire()
    assert permit.id
    assert not permit.is_expired(clock.now)
    assert permit.is_expired(clock.now + 1.0)


def test_issuer_uses_the_same_permits(issuer, asker, clock):
    asker.name_limit(LIMIT_PER_S, 99.0, clock.now)
    asker.acquire()
    clock.now += 0.6
    assert issuer.acquire().id
    assert asker.acquire() is None


def test_returned_permit_can_be_used_by_another_instance(members, clock):
    _, asker, other = members
    asker.name_limit(LIMIT_PER_S, 99.0, clock.now)
    asker.acquire()
    clock.now += 0.6
    permit = asker.acquire()
    assert other.acquire() is None
    asker.exchange.give_back(permit)
    clock.now += other.schedule.get_wait_s(START, clock.now)
    assert other.acquire().id


def test_silent_issuer_holds_a_request_for_a_short_time_only(asker, network, clock):
    asker.name_limit(LIMIT_PER_S, 99.0, clock.now)
    network.holds = lambda kind, address: kind.name == "PERMIT_REQUEST"
    with eventlet.Timeout(5 * ANSWER_TIMEOUT_S):
        assert asker.acquire() is None
    assert asker.count_permits("unanswered") == 1
    assert asker.schedule.get_wait_s(START, clock.now) > 0.0


def test_permit_that_comes_late_is_returned(issuer, asker, network, clock):
    asker.name_limit(LIMIT_PER_S, 99.0, clock.now)
    asker.acquire()
    clock.now += 0.6
    network.holds = lambda kind, address: kind.name == "PERMIT_ANSWER"
    assert asker.acquire() is None
    assert issuer.acquire() is None
    network.deliver_held()
    clock.now += issuer.schedule.get_wait_s(START, clock.now)
    assert issuer.acquire().id


def test_end_of_a_limit_reaches_others_with_their_next_question(members, clock):
    _, asker, other = members
    asker.name_limit(LIMIT_PER_S, 99.0, clock.now)
    asker.acquire()
    clock.now += 0.6
    permit = asker.acquire()
    sent_at = clock.now
    clock.now += 0.1
    asker.name_limit(None, sent_at, clock.now, permit)
    assert other.book.get(START) == LIMIT_PER_S
    assert other.acquire() is NO_PERMIT_NEEDED
    assert other.book.get(START) is None


@pytest.mark.parametrize("per_s", [8.0, None])
def test_limit_that_others_still_know_is_not_restored(members, issuer, clock, per_s):
    _, asker, other = members
    asker.name_limit(LIMIT_PER_S, 99.0, clock.now)
    for member in (asker, other):
        member.acquire()
    clock.now += 0.6
    permit = asker.acquire()
    sent_at = clock.now
    # The response takes a second, in which others ask.
    clock.now += 0.5
    other.acquire()
    issuer.acquire()
    clock.now += 0.5
    asker.name_limit(per_s, sent_at, clock.now, permit)
    clock.now += other.schedule.get_wait_s(START, clock.now)
    other.acquire()
    assert issuer.book.get(START) == per_s
    assert other.book.get(START) == per_s


def test_response_without_a_permit_does_not_end_the_limit_of_others(
    members, issuer, asker, clock
):
    asker.name_limit(LIMIT_PER_S, 99.0, clock.now)
    clock.now += 1.0
    asker.name_limit(None, 100.5, clock.now)
    assert issuer.book.get(START) == LIMIT_PER_S


def test_lost_report_of_the_end_keeps_no_limit_for_ever(
    issuer, members, asker, network, clock
):
    other = members[2]
    asker.name_limit(LIMIT_PER_S, 99.0, clock.now)
    network.holds = lambda kind, address: kind.name == "LIMIT_REPORT"
    for member in (asker, other):
        member.acquire()
        clock.now += 2.0
        permit = member.acquire()
        member.name_limit(None, clock.now, clock.now + 0.1, permit)
        clock.now += 0.2
        assert member.acquire() is NO_PERMIT_NEEDED
        network.holds = lambda kind, address: False
    assert issuer.book.get(START) is None


def test_limit_that_begins_again_is_not_taken_for_an_older_one(issuer, asker, clock):
    asker.name_limit(LIMIT_PER_S, 99.0, clock.now)
    clock.now += 2.0
    issuer.name_limit(None, clock.now, clock.now + 0.1)
    clock.now += 1.0
    asker.name_limit(0.5, clock.now, clock.now + 0.1)
    assert issuer.book.get(START) == 0.5


def test_instance_without_a_lease_issues_nothing(issuer, members, clock):
    issuer.name_limit(LIMIT_PER_S, 99.0, clock.now)
    for member in members:
        member.view.peer_directory.mark_absent(issuer.exchange._name, clock.now)
    issuer.acquire()
    clock.now += 1.0
    permit = issuer.acquire()
    assert permit.issuer != issuer.exchange._name


def test_instance_with_another_view_gets_no_permit(issuer, asker, clock):
    asker.name_limit(LIMIT_PER_S, 99.0, clock.now)
    issuer.view.peer_directory.mark_absent(issuer.exchange._name, clock.now)
    clock.now += 5.0
    assert asker.acquire() is None


def test_issuer_without_the_store_issues_less(issuer, clock):
    issuer.name_limit(LIMIT_PER_S, 99.0, clock.now)
    issuer.is_connected = False
    issued = 0
    for _ in range(1000):
        clock.now += 0.02
        permit = issuer.acquire()
        issued += permit is not None
    assert 0.3 * LIMIT_PER_S * 20.0 <= issued <= 0.5 * LIMIT_PER_S * 20.0


@pytest.mark.parametrize(
    ("position", "message_count"),
    # A restarted issuer announces the limit that it is told.
    [(0, len(NAMES)), (1, 1)],
    ids=["issuer", "other"],
)
def test_restarted_instance_is_told_the_limits(
    members, network, clock, position, message_count
):
    members[2].name_limit(LIMIT_PER_S, 99.0, clock.now)
    name = members[position].exchange._name
    restarted = Member(name, network, clock)
    sent_before = len(network.sent_kinds)
    for member in members:
        if member is not members[position]:
            member.view.peer_directory.mark_present(PeerAddress(name, "zone-a", name))
    assert restarted.book.get(START) == LIMIT_PER_S
    assert len(network.sent_kinds) == sent_before + message_count


def test_permit_that_was_issued_to_the_process_before_is_not_used(
    members, issuer, asker, network, clock
):
    other = find_upstream_of(issuer, members)
    members[2].name_limit(LIMIT_PER_S, 99.0, clock.now)
    members[2].acquire()
    clock.now += 0.6
    network.holds = lambda kind, address: kind.name == "PERMIT_ANSWER"
    assert asker.acquire() is None
    restarted = Member(asker.exchange._name, network, clock)
    restarted.exchange.record_response(
        other, LIMIT_PER_S, True, 99.0, clock.now, NO_PERMIT_NEEDED
    )
    network.holds = lambda kind, address: kind.name == "PERMIT_REQUEST"
    asking = eventlet.spawn(restarted.exchange.acquire, other, False)
    eventlet.sleep(0)
    network.deliver_held()
    # The first permit of an upstream is due after a moment.
    assert asking.wait() is None


def find_upstream_of(issuer, members):
    """Return another upstream that *issuer* issues the permits for."""
    name, fleet = issuer.exchange._name, issuer.exchange._fleet
    upstreams = (
        Upstream(f"i-{n}", "app", "10.0.0.2:80", "zone-a", "v1", 4, started_ms=7)
        for n in itertools.count(2)
    )
    other = next(u for u in upstreams if fleet.find_issuer(u) == name)
    for member in members:
        member.view.upstreams[other.start] = other
    return other


def test_new_start_has_no_limit(issuer, clock):
    issuer.name_limit(LIMIT_PER_S, 99.0, clock.now)
    issuer.exchange.forget_start(START)
    assert issuer.acquire() is NO_PERMIT_NEEDED


@pytest.mark.parametrize(
    "body",
    [
        [],
        [1],
        [1, "nowhere", "two", ["i-1", 7], False, None, 0.0],
        [["i-1", 7], 0, "fast"],
        [["i-1", 7], 0, -1.0],
        [["i-1", 7], 0, float("nan")],
        [[], {}, 1, 2],
    ],
)
@pytest.mark.parametrize(
    "kind", ["PERMIT_REQUEST", "PERMIT_ANSWER", "PERMIT_RETURN", "LIMIT_REPORT"]
)
def test_invalid_bodies_raise_what_the_transport_expects(issuer, network, kind, body):
    handlers = network.handlers[issuer.exchange._name]
    handler = next(h for k, h in handlers.items() if k.name == kind)
    with contextlib.suppress(ValueError, TypeError, KeyError):
        handler(body)
    assert issuer.book.get(START) is None

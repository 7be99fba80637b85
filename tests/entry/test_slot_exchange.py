"""Leases between instances, with messages that are lost and late."""

import types

import eventlet
import pytest

from merlinnotch._entry.datagrams import MessageKind
from merlinnotch._entry.slot_exchange import (
    ANSWER_TIMEOUT_S,
    LIFETIME_MARGIN_S,
    SlotExchange,
)
from merlinnotch._fleet import PeerAddress, Upstream
from merlinnotch._placement import LoadTable
from merlinnotch._slot_leases import NO_LEASE_NEEDED
from merlinnotch._slot_leases.issuer import FIRST_S
from tests.entry.datagram_network import Network

NAMES = ("one", "two", "three")
ISSUER = "one"
SLOTS = 4
UPSTREAM = Upstream("i-1", "app", "10.0.0.1:80", "zone-a", "v1", SLOTS, started_ms=7)
OTHER = Upstream("i-2", "app", "10.0.0.2:80", "zone-a", "v1", SLOTS, started_ms=7)
REMAINING_S = 2.0


class Clock:
    now = 100.0

    def read(self):
        return self.now


class View:
    """The part of the fleet view that leases need."""

    def __init__(self):
        self.peers = {name: PeerAddress(name, "zone-a", name) for name in NAMES}

    def list_present_peers(self):
        return list(self.peers.values())

    def find_start(self, start):
        return next((u for u in (UPSTREAM, OTHER) if u.start == start), None)


class Fleet:
    """Three instances that know that the upstream is brittle."""

    def __init__(self):
        self.network = Network()
        self.clock = Clock()
        self.results = []
        self.exchanges = {}
        for name in NAMES:
            self.start(name)

    def start(self, name):
        """Start the instance *name*, again if it runs."""
        self.exchanges[name] = SlotExchange(
            self.network.add(name),
            name,
            name,
            View(),
            types.SimpleNamespace(find_issuer=lambda upstream: ISSUER),
            LoadTable(lambda service: None),
            self.clock.read,
            self.results.append,
        )

    def acquire(self, name, wait_s=0.0):
        return self.exchanges[name].acquire(UPSTREAM, REMAINING_S, wait_s)

    def acquire_all(self):
        """Return the leases of all free slots."""
        leases = []
        while lease := self.acquire("two"):
            leases.append(lease)
        return leases

    def lose(self, kind):
        self.network.holds = lambda sent_kind, address: sent_kind is kind


@pytest.fixture
def fleet():
    fleet = Fleet()
    now = fleet.clock.now
    fleet.exchanges["three"].record_response(UPSTREAM.start, True, now, now)
    fleet.exchanges["two"].release(fleet.acquire("two"))
    fleet.clock.now += FIRST_S
    return fleet


def test_upstream_that_is_not_brittle_needs_no_lease():
    fleet = Fleet()
    assert fleet.acquire("two") is NO_LEASE_NEEDED
    assert fleet.network.sent_kinds == []


def test_first_brittle_response_is_announced_to_all(fleet):
    assert fleet.network.sent_kinds[:2] == ["BRITTLE", "BRITTLE"]
    assert all(fleet.acquire(name).id for name in NAMES)


def test_later_response_without_the_notice_ends_it(fleet):
    now = fleet.clock.now
    fleet.exchanges["two"].record_response(UPSTREAM.start, False, now, now)
    assert fleet.acquire("two") is NO_LEASE_NEEDED


def test_instances_share_the_slots(fleet):
    leases = [fleet.acquire(name) for name in (*NAMES, "one")]
    assert all(lease.id for lease in leases)
    assert [fleet.acquire(name) for name in NAMES] == [None] * 3
    fleet.exchanges["one"].release(leases[0])
    assert fleet.acquire("three").id


@pytest.mark.parametrize("kind", [MessageKind.SLOT_QUESTION, MessageKind.SLOT_ANSWER])
def test_lost_message_costs_an_attempt(fleet, kind):
    fleet.lose(kind)
    assert fleet.acquire("two") is None
    assert fleet.results[-1] == "unanswered"


def test_lease_of_a_late_answer_is_returned(fleet):
    fleet.lose(MessageKind.SLOT_ANSWER)
    assert fleet.acquire("two") is None
    fleet.network.deliver_held()
    assert len(fleet.acquire_all()) == SLOTS


def test_slot_of_a_lost_release_is_granted_after_the_lease(fleet):
    leases = fleet.acquire_all()
    fleet.lose(MessageKind.SLOT_RELEASE)
    fleet.exchanges["two"].release(leases[0])
    assert fleet.acquire("two") is None
    fleet.clock.now += REMAINING_S + LIFETIME_MARGIN_S
    assert len(fleet.acquire_all()) == SLOTS


@pytest.mark.parametrize("name", NAMES)
def test_waiting_request_gets_the_slot_that_becomes_free(fleet, name):
    leases = fleet.acquire_all()
    waiting = eventlet.spawn(fleet.acquire, name, 1.0)
    eventlet.sleep(0)
    fleet.exchanges["two"].release(leases[0])
    assert waiting.wait().id


@pytest.mark.parametrize("name", NAMES)
def test_slot_of_a_request_that_ended_while_it_waited_is_free(fleet, name):
    leases = fleet.acquire_all()
    waiting = eventlet.spawn(fleet.acquire, name, 1.0)
    eventlet.sleep(0)
    waiting.kill()
    fleet.exchanges["two"].release(leases[0])
    assert len(fleet.acquire_all()) == 1


def test_wait_for_a_slot_is_limited(fleet):
    fleet.acquire_all()
    with eventlet.Timeout(10 * ANSWER_TIMEOUT_S):
        assert fleet.acquire("two", wait_s=0.05) is None
    assert fleet.results[-1] == "denied"


def test_lease_that_was_granted_to_the_process_before_is_not_used(fleet):
    now = fleet.clock.now
    fleet.start("two")
    fleet.exchanges["two"].record_response(UPSTREAM.start, True, now, now)
    fleet.lose(MessageKind.SLOT_ANSWER)
    assert fleet.acquire("two") is None
    fleet.start("two")
    fleet.exchanges["two"].record_response(OTHER.start, True, now, now)
    fleet.lose(MessageKind.SLOT_QUESTION)
    asking = eventlet.spawn(fleet.exchanges["two"].acquire, OTHER, REMAINING_S)
    eventlet.sleep(0)
    fleet.network.deliver_held()
    assert asking.wait().id
    issuer = fleet.exchanges[ISSUER]._issuer
    leases = [issuer.count_leases(u.start, now) for u in (UPSTREAM, OTHER)]
    assert leases == [0, 1]


@pytest.mark.parametrize("kind", [MessageKind.SLOT_QUESTION, MessageKind.SLOT_ANSWER])
def test_repeated_message_does_not_end_the_lease_in_use(fleet, kind):
    lease = fleet.acquire("two")
    fleet.network.repeat_last(kind)
    assert len(fleet.acquire_all()) == SLOTS - 1
    fleet.exchanges["two"].release(lease)
    assert fleet.acquire("two").id

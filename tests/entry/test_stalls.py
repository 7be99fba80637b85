"""What a process reads after a stall may be as old as the stall."""

import types

import pytest

from merlinnotch._entry.change_forwarder import ChangeForwarder
from merlinnotch._entry.datagrams import MessageKind
from merlinnotch._entry.stalls import BEAT_INTERVAL_S, MIN_STALL_S, StallMonitor
from merlinnotch._fleet import PeerAddress
from merlinnotch._rendezvous_hashing import rank_names

ZONE = "zone-a"
IN_FORCE_S = 3.0
START = 1000.0
NAMES = [f"instance-{number}" for number in range(5)]
RANKED = rank_names(ZONE, NAMES, len(NAMES))
WATCHER, FOLLOWER = RANKED[0], RANKED[-1]


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = START

    def __call__(self):
        return self.now


class Transport:
    """Holds the handlers of messages and the messages that are sent."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, kind, body, addresses):
        self.sent.append(body)
        return True


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def stalls(clock):
    monitor = StallMonitor()
    monitor.record_beat(clock.now)
    return monitor


@pytest.fixture
def transport():
    return Transport()


@pytest.fixture
def build_forwarder(clock, stalls, transport):
    peers = [PeerAddress(name, ZONE, f"10.0.0.1:{n}") for n, name in enumerate(NAMES)]
    view = types.SimpleNamespace(list_present_peers=lambda: peers)

    def build(name):
        address = "10.0.0.1:1"
        return ChangeForwarder(
            transport, name, ZONE, address, view, clock, IN_FORCE_S, stalls
        )

    return build


def receive(forwarder, transport):
    transport.handlers[MessageKind.STORE_CHANGES](["10.0.0.1:1", 7, 7, None, None])
    forwarder.record_applied(forwarder.wait(0))


def test_busy_process_is_not_stalled(clock, stalls):
    clock.now += BEAT_INTERVAL_S + MIN_STALL_S / 2
    stalls.record_beat(clock.now)
    assert stalls.measure_total_s(clock.now) == 0.0


def test_stalls_add_up(clock, stalls):
    for _ in range(2):
        clock.now += BEAT_INTERVAL_S + 1.0
        stalls.record_beat(clock.now)
    clock.now += BEAT_INTERVAL_S + 0.5
    assert stalls.measure_current_s(clock.now) == pytest.approx(0.5)
    assert stalls.measure_total_s(clock.now) == pytest.approx(2.5)


def test_message_replaces_a_watch_until_the_time_limit(
    clock, build_forwarder, transport
):
    forwarder = build_forwarder(FOLLOWER)
    receive(forwarder, transport)
    left_s = forwarder.get_remaining_validity_s(clock.now)
    assert IN_FORCE_S - 1.0 < left_s < IN_FORCE_S


def test_message_that_waited_for_a_frozen_process_counts_from_its_freeze(
    clock, build_forwarder, transport
):
    forwarder = build_forwarder(FOLLOWER)
    receive(forwarder, transport)
    fresh_s = forwarder.get_remaining_validity_s(clock.now)
    clock.now += BEAT_INTERVAL_S + 2.0
    receive(forwarder, transport)
    left_s = forwarder.get_remaining_validity_s(clock.now)
    assert left_s == pytest.approx(fresh_s - 2.0)


def test_watcher_forwards_a_reply(clock, build_forwarder, transport):
    forwarder = build_forwarder(WATCHER)
    forwarder.begin_read()
    clock.now += BEAT_INTERVAL_S
    forwarder.forward(7, 7, None, None)
    assert len(transport.sent) == 1


def test_frozen_watcher_does_not_forward_an_old_reply(
    clock, stalls, build_forwarder, transport
):
    forwarder = build_forwarder(WATCHER)
    forwarder.begin_read()
    clock.now += BEAT_INTERVAL_S + 2.0
    # The reply may be read before or after the next beat.
    forwarder.forward(7, 7, None, None)
    stalls.record_beat(clock.now)
    forwarder.forward(7, 7, None, None)
    assert transport.sent == []
    forwarder.begin_read()
    forwarder.forward(7, 8, None, None)
    assert len(transport.sent) == 1

"""Gossip between instances over a transport in memory, on a clock of its own."""

import types

import pytest

from merlinnotch._config import RevisionTracker
from merlinnotch._daemon.metrics import Metrics
from merlinnotch._links import gossiper as module
from merlinnotch._links.gossiper import LEAVING, Gossiper
from merlinnotch._links.link import PeerUnreachable
from merlinnotch._peers import Leaving

EPOCH = 1_000_000_000


class Network:
    """Carries requests between instances, except where they are cut off."""

    def __init__(self):
        self.handlers = {}
        self.cut = set()

    def join(self, name):
        """Return the transport of one instance."""
        handlers = self.handlers[name] = {}

        def request(address, message, timeout_s):
            if frozenset((name, address)) in self.cut:
                raise PeerUnreachable(address, sent=True)
            return self.handlers[address][type(message)](message)

        return types.SimpleNamespace(
            handlers=handlers, request=request, close_idle=lambda now: None
        )


class Fleet:
    """Instances that gossip in rounds of a second."""

    def __init__(self, zones, clock, seeds=2):
        self._clock = clock
        self.network = Network()
        names = [f"entry-{number}" for number in range(len(zones))]
        self.nodes = {
            name: Gossiper(
                types.SimpleNamespace(
                    instance=name,
                    zone=zone,
                    advertised_address=name,
                    seeds=tuple(names[:seeds]),
                ),
                self.network.join(name),
                types.SimpleNamespace(tracker=RevisionTracker()),
                Metrics(),
                1000,
            )
            for name, zone in zip(names, zones, strict=True)
        }

    def run(self, rounds, paused=()):
        for _ in range(rounds):
            self._clock.now += 1
            for name, node in self.nodes.items():
                if name not in paused:
                    node.run_once()

    def count_live(self):
        now = self._clock.now
        return {len(node.membership.list_live(now)) for node in self.nodes.values()}

    def cut(self, part):
        others = self.nodes.keys() - part
        self.network.cut = {frozenset((a, b)) for a in part for b in others}


@pytest.fixture
def clock(monkeypatch):
    clock = types.SimpleNamespace(now=0.0)
    time = types.SimpleNamespace(
        monotonic=lambda: clock.now, time=lambda: EPOCH + clock.now
    )
    monkeypatch.setattr(module, "time", time)
    return clock


@pytest.mark.parametrize(
    "zones",
    [
        ["a", "b", "c", "d"] * 2,
        ["a", "a", "b", "b"],
        ["a"] * 5,
        ["a", "b", "c"] * 10,
    ],
)
def test_everyone_comes_to_know_everyone(clock, zones):
    fleet = Fleet(zones, clock)
    fleet.run(20)
    assert fleet.count_live() == {len(zones)}


def test_word_reaches_everyone_within_seconds(clock):
    fleet = Fleet(["a", "b", "c", "d"] * 6, clock)
    fleet.run(20)
    fleet.nodes["entry-5"].publish(LEAVING, ("engine-1",), Leaving(1.0))
    fleet.run(6)
    key = (LEAVING, "engine-1")
    assert all(node.words.get(key) for node in fleet.nodes.values())


def test_parts_that_lost_each_other_meet_again(clock):
    fleet = Fleet(["a", "a", "b", "b", "c", "c"], clock)
    fleet.run(20)
    fleet.cut({"entry-0", "entry-1"})
    fleet.run(60)
    assert fleet.count_live() == {2, 4}
    fleet.network.cut = set()
    fleet.run(20)
    assert fleet.count_live() == {6}


def test_paused_instance_is_suspected_and_revives_nobody(clock):
    fleet = Fleet(["a", "a", "a", "b", "b"], clock)
    fleet.run(20)
    fleet.run(150, paused=("entry-1", "entry-2"))
    node = fleet.nodes["entry-0"]
    assert set(node.membership.list_live(clock.now)) == {
        "entry-0",
        "entry-3",
        "entry-4",
    }
    fleet.run(20, paused=("entry-2",))
    live = node.membership.list_live(clock.now)
    assert set(live) == {"entry-0", "entry-1", "entry-3", "entry-4"}

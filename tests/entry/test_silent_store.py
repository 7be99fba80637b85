"""A store that accepts calls and says nothing, to some instances only."""

import eventlet
import pytest
from eventlet.event import Event

from merlinnotch._entry import store_sync
from merlinnotch._entry.change_forwarder import STORE_CALL_ALLOWANCE_S
from merlinnotch._entry.metrics import EntryMetrics
from merlinnotch._entry.peers import CONNECT_TIMEOUT_S
from merlinnotch._entry.store_sync import PEER_DELAY_S, StoreSync
from merlinnotch._errors import StoreUnavailable
from merlinnotch._fleet.mirror import Mirror, MirrorUpdate
from merlinnotch._store import Changes, Item, Listing, build_index

IN_FORCE_S = 3.0
KEY = "op/other"


class FakeStore:
    """Replies to full reads; its watches wait until *reply* is sent."""

    def __init__(self):
        self.waits_s = []
        self.reply = Event()

    def advance_era(self, era):
        pass

    def read(self, prefix, recurse):
        return Listing((), build_index(1, 1))

    def read_changes(self, prefix, index, wait_s):
        self.waits_s.append(wait_s)
        return self.reply.wait()


class FakePeers:
    """Peers that know an item that the store wrote at revision 2."""

    def __init__(self):
        self.call_count = 0

    def fetch_newer(self, index):
        self.call_count += 1
        update_index = build_index(1, 2)
        item = Item(KEY, b"value", update_index)
        yield MirrorUpdate(update_index, (item,), (KEY,))


class FakeForwarder:
    """The forwarder of an instance whose watchers are silent."""

    in_force_s = IN_FORCE_S

    def is_watcher(self):
        return False

    def get_remaining_validity_s(self, now):
        return 0.0

    def wait(self, wait_s):
        return None

    def begin_read(self):
        pass

    def forward(self, *arguments):
        pass

    def limit_watch_time(self, watch_s):
        return watch_s


class FakeView:
    configuration = None

    def apply(self, key_changes, now, recovered_at):
        pass

    def apply_copy(self, key_changes, now):
        pass


class Scene:
    """A :class:`StoreSync` that has read the store once, at the time 0."""

    def __init__(self):
        self.now = 0.0
        self.store = FakeStore()
        self.peers = FakePeers()
        self.mirror = Mirror()
        self.sync = StoreSync(
            self.store,
            self.mirror,
            FakeView(),
            self.peers,
            FakeForwarder(),
            lambda: self.now,
            watch_s=2.0,
            metrics=EntryMetrics(),
        )
        self.sync._sync()


@pytest.fixture
def scene(monkeypatch):
    monkeypatch.setattr(store_sync, "PEER_DELAY_S", 0.01)
    return Scene()


def run_until_watch(scene):
    """Let the synchronization go on until it waits for the store."""
    thread = eventlet.spawn(scene.sync._sync)
    while not scene.store.waits_s:
        eventlet.sleep(0)
    return thread


def test_store_is_watched_while_the_state_is_confirmed(scene):
    run_until_watch(scene).kill()
    assert scene.store.waits_s == [2.0]


def test_store_is_asked_to_reply_at_once_after_a_silence(scene):
    scene.now = IN_FORCE_S
    run_until_watch(scene).kill()
    assert scene.store.waits_s == [0.0]


def test_change_is_learned_from_peers_while_the_store_says_nothing(scene):
    scene.now = IN_FORCE_S
    thread = run_until_watch(scene)
    with eventlet.Timeout(5.0):
        while KEY not in scene.mirror.items:
            eventlet.sleep(0.01)
    assert not thread.dead
    thread.kill()


def test_peers_are_no_longer_asked_after_a_reply(scene):
    scene.now = IN_FORCE_S
    thread = run_until_watch(scene)
    scene.store.reply.send(Changes((), (), build_index(1, 1)))
    thread.wait()
    count = scene.peers.call_count
    eventlet.sleep(0.1)
    assert scene.peers.call_count == count


def test_peers_are_no_longer_asked_after_a_failure(scene):
    scene.now = IN_FORCE_S
    thread = run_until_watch(scene)
    scene.store.reply.send_exception(StoreUnavailable("reset"))
    thread.wait()
    count = scene.peers.call_count
    eventlet.sleep(0.1)
    assert scene.peers.call_count == count


@pytest.mark.parametrize("in_force_s", [2.0, 3.0])
def test_waits_until_peers_are_asked_add_up_to_less_than_the_time_limit(in_force_s):
    """A change reaches a follower of silent watchers whose store is silent as well."""
    validity_s = in_force_s - STORE_CALL_ALLOWANCE_S
    assert validity_s + PEER_DELAY_S + CONNECT_TIMEOUT_S < in_force_s

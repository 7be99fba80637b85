"""A store that accepts calls and says nothing, to some instances only."""

import eventlet
import pytest
from eventlet.event import Event

from merlinnotch._entry import store_sync
from merlinnotch._entry.change_forwarder import (
    STORE_CALL_ALLOWANCE_S,
    ChangeForwarder,
    ForwardedChanges,
)
from merlinnotch._entry.metrics import EntryMetrics
from merlinnotch._entry.peers import CONNECT_TIMEOUT_S
from merlinnotch._entry.store_sync import PEER_DELAY_S, StoreSync
from merlinnotch._errors import StoreUnavailable
from merlinnotch._fleet.mirror import Mirror, MirrorUpdate
from merlinnotch._store import Changes, Item, Listing, build_index
from merlinnotch.platform.store import WATCH_GRACE_S

IN_FORCE_S = 3.0
VALIDITY_S = IN_FORCE_S - STORE_CALL_ALLOWANCE_S
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
    """Peers that know an item that the store wrote at revision 2.

    The first *silent_count* calls to them get no response.
    """

    def __init__(self):
        self.call_count = 0
        self.silent_count = 0
        self.fetched_until = None

    def fetch_newer(self, index):
        self.call_count += 1
        if self.call_count <= self.silent_count:
            eventlet.sleep(3600)
        update_index = build_index(1, 2)
        item = Item(KEY, b"value", update_index)
        yield MirrorUpdate(update_index, (item,), (KEY,))

    def fetch_from(self, address, index, until):
        self.fetched_until = until


class FakeForwarder:
    """The forwarder of an instance whose watchers are silent."""

    in_force_s = IN_FORCE_S
    validity_s = VALIDITY_S

    def __init__(self):
        self.message = None

    def is_watcher(self):
        return False

    def get_remaining_validity_s(self, now):
        return 0.0

    def wait(self, wait_s):
        message, self.message = self.message, None
        return message

    def record_missed(self):
        pass

    def begin_read(self):
        pass

    def forward(self, *arguments):
        pass

    def limit_watch_time(self, watch_s):
        return watch_s


class FakeTransport:
    def handle(self, kind, handler):
        pass


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
        self.forwarder = FakeForwarder()
        self.sync = StoreSync(
            self.store,
            self.mirror,
            FakeView(),
            self.peers,
            self.forwarder,
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


def test_peers_are_asked_again_while_others_say_nothing(scene):
    scene.now = IN_FORCE_S
    scene.peers.silent_count = 2
    thread = run_until_watch(scene)
    with eventlet.Timeout(5.0):
        while KEY not in scene.mirror.items:
            eventlet.sleep(0.01)
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


class Zone:
    """A view in which this instance is the only one of its zone."""

    def list_present_peers(self):
        return []


@pytest.mark.parametrize("in_force_s", [2.0, 3.0])
def test_silence_of_the_store_shows_in_time_without_watchers(in_force_s):
    forwarder = ChangeForwarder(
        FakeTransport(), "one", "zone-a", "", Zone(), None, in_force_s, None
    )
    watch_s = forwarder.limit_watch_time(10.0)
    assert watch_s + WATCH_GRACE_S + CONNECT_TIMEOUT_S <= in_force_s


def make_message(since, received_at):
    """Return the message of a change that its sender has to be asked for."""
    index = build_index(1, since + 1)
    return ForwardedChanges(
        "peer", build_index(1, since), index, None, None, received_at
    )


def test_store_is_read_in_time_for_the_change_of_a_message(scene):
    scene.now = 1.0
    scene.forwarder.message = make_message(since=1, received_at=1.0)
    run_until_watch(scene).kill()
    # The watcher may have paused before it read the change.
    assert scene.peers.fetched_until == 1.0 - 0.1 * IN_FORCE_S + VALIDITY_S


def test_store_is_read_in_time_for_the_changes_of_lost_messages(scene):
    scene.now = 1.0
    scene.forwarder.message = make_message(since=5, received_at=1.0)
    run_until_watch(scene).kill()
    assert scene.peers.fetched_until == VALIDITY_S


@pytest.mark.parametrize("in_force_s", [2.0, 3.0])
def test_waits_until_peers_are_asked_add_up_to_less_than_the_time_limit(in_force_s):
    """A change reaches a follower of silent watchers whose store is silent as well."""
    validity_s = in_force_s - STORE_CALL_ALLOWANCE_S
    assert validity_s + PEER_DELAY_S + CONNECT_TIMEOUT_S < in_force_s

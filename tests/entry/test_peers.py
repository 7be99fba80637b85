"""Transfer of state between instances over slow links."""

import abc
import types
import zlib

import eventlet
import pytest
from eventlet.green import socket

from merlinnotch._entry import peers
from merlinnotch._entry.clock import read_clock
from merlinnotch._entry.metrics import EntryMetrics
from merlinnotch._entry.peers import (
    STATE_PATH,
    PeerClient,
    StateEndpoint,
    decode_mirror_update,
    encode_mirror_update,
)
from merlinnotch._fleet import PeerAddress
from merlinnotch._fleet.mirror import Mirror, MirrorUpdate
from merlinnotch._http import Fields, HttpServer
from merlinnotch._store import Item, Listing, build_index

STATE = encode_mirror_update(
    MirrorUpdate(7, (Item("op/config", b"x" * 40_000, 7),), ("k",))
)


def respond(endpoint, target, *pairs):
    """Return status, header fields and body of the response to a GET request."""
    request = types.SimpleNamespace(target=target, fields=Fields(pairs))
    return endpoint.respond(request)


class View:
    def __init__(self, address):
        self.peers = {"far": PeerAddress("far", "a", address)}


class FakePeer(abc.ABC):
    """Peer that accepts one connection."""

    def __init__(self):
        self._socket = socket.socket()
        self._socket.bind(("127.0.0.1", 0))
        self._socket.listen()
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self._task = eventlet.spawn(self._serve)

    def close(self):
        self._task.kill()
        self._socket.close()

    def _serve(self):
        connection, _ = self._socket.accept()
        self._respond(connection)

    @abc.abstractmethod
    def _respond(self, connection):
        """Use the connection of the only client."""


class SilentPeer(FakePeer):
    """Peer that never responds, like a frozen one.

    *was_left* is set once its client has closed the connection.
    """

    was_left = False

    def _respond(self, connection):
        while connection.recv(4096):
            pass
        self.was_left = True


class SlowPeer(FakePeer):
    """Peer that sends *sent* of the *pieces* of its state, *pause_s* apart."""

    def __init__(self, pieces, pause_s, sent):
        self._pieces = pieces
        self._pause_s = pause_s
        self._sent = sent
        super().__init__()

    def _respond(self, connection):
        connection.recv(4096)
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(STATE)}\r\n\r\n"
        connection.sendall(head.encode())
        size = len(STATE) // self._pieces + 1
        for number in range(self._sent):
            connection.sendall(STATE[number * size : (number + 1) * size])
            eventlet.sleep(self._pause_s)
        eventlet.sleep(30)


@pytest.fixture
def fetch():
    slow_peers = []

    def run(*script):
        slow_peers.append(SlowPeer(*script))
        client = PeerClient(
            "near", View(slow_peers[0].address), read_clock, EntryMetrics()
        )
        return next(client.fetch_newer(0), None)

    yield run
    for peer in slow_peers:
        peer.close()


def test_state_over_a_slow_link_is_received(fetch):
    assert fetch(12, 0.1, 12).index == 7


def test_peer_that_stalls_within_the_body_is_given_up(fetch):
    assert fetch(12, 0.01, 6) is None


@pytest.mark.parametrize("query, era", [("since=0", 3), ("after=0", 0)])
def test_peers_of_earlier_releases_get_revisions_without_era(query, era):
    mirror = Mirror()
    index = build_index(3, 7)
    mirror.replace(Listing((Item("k", b"v", index),), index))
    status, _, body = respond(StateEndpoint(mirror), f"/state?{query}")
    update = decode_mirror_update(body)
    assert (status, update.index) == (200, build_index(era, 7))
    assert [item.modify_index for item in update.items] == [update.index]


@pytest.fixture
def mirror():
    mirror = Mirror()
    items = tuple(Item(f"k{number}", b"x" * 5000, 7) for number in range(20))
    mirror.replace(Listing(items, 7))
    return mirror


@pytest.fixture
def fetch_from():
    """Return a function that fetches the state from a server with *respond*."""
    servers = []

    def run(respond):
        servers.append(HttpServer("127.0.0.1:0", respond, read_clock))
        view = View(servers[-1].address)
        client = PeerClient("near", view, read_clock, EntryMetrics())
        return next(client.fetch_newer(0), None)

    yield run
    for server in servers:
        server.close()


def test_state_is_compressed(mirror, fetch_from):
    endpoint = StateEndpoint(mirror)
    sizes = []

    def record_size(request):
        response = endpoint.respond(request)
        sizes.append(len(response[2]))
        return response

    assert fetch_from(record_size) == mirror.export(0)
    assert sizes[0] < 5000


def test_compressed_state_follows_the_mirror(mirror):
    endpoint = StateEndpoint(mirror)
    accept = ("accept-encoding", "deflate")
    before = respond(endpoint, "/state?since=0", accept)[2]
    assert respond(endpoint, "/state?since=0", accept)[2] is before
    assert respond(endpoint, "/state?since=7", accept)[2] != before
    mirror.replace(Listing((Item("k", b"v", 8),), 8))
    after = zlib.decompress(respond(endpoint, "/state?since=0", accept)[2])
    assert decode_mirror_update(after) == mirror.export(0)


def test_state_of_a_peer_that_does_not_compress_is_read(fetch_from):
    assert fetch_from(lambda request: (200, [], STATE)).index == 7


@pytest.mark.parametrize(
    "body",
    [
        zlib.compress(STATE)[:-20],
        STATE,
        zlib.compress(bytes(9 << 20)),
    ],
    ids=["cut off", "not compressed", "too large"],
)
def test_invalid_compressed_state_is_ignored(fetch_from, body):
    pairs = [("content-encoding", "deflate")]
    assert fetch_from(lambda request: (200, pairs, body)) is None


def test_peer_that_does_not_respond_delays_no_other_one():
    silent = SilentPeer()
    server = HttpServer("127.0.0.1:0", lambda request: (200, [], STATE), read_clock)
    view = View(silent.address)
    view.peers["other"] = PeerAddress("other", "a", server.address)
    updates = PeerClient("near", view, read_clock, EntryMetrics()).fetch_newer(0)
    assert next(updates).index == 7
    assert not silent.was_left
    assert list(updates) == []
    silent.close()
    server.close()


@pytest.fixture
def silent_peer():
    peer = SilentPeer()
    yield peer
    peer.close()


def fetch_until(peer, delay_s):
    """Fetch the state of *peer* for *delay_s*; return the update and the metrics."""
    metrics = EntryMetrics()
    client = PeerClient("near", View(peer.address), read_clock, metrics)
    return client.fetch_from(peer.address, 0, read_clock() + delay_s), metrics


def test_fetch_ends_at_its_deadline(silent_peer, monkeypatch):
    monkeypatch.setattr(peers, "CALL_TIMEOUT_S", 3600.0)
    with eventlet.Timeout(30.0):
        assert fetch_until(silent_peer, 0.05)[0] is None


def test_nothing_is_fetched_after_the_deadline(silent_peer):
    update, metrics = fetch_until(silent_peer, -1.0)
    assert update is None
    assert (
        metrics.registry.get_sample_value(
            "merlinnotch_peer_calls_total", {"kind": STATE_PATH}
        )
        is None
    )


@pytest.mark.parametrize("size", [0, 1, len(STATE) // 2])
def test_state_that_is_cut_off_is_not_applied(size):
    server = HttpServer(
        "127.0.0.1:0", lambda request: (200, [], STATE[:size]), read_clock
    )
    client = PeerClient("near", View(server.address), read_clock, EntryMetrics())
    assert list(client.fetch_newer(0)) == []
    server.close()

"""The client of the platform's store."""

from dataclasses import replace

import eventlet
import pytest

from merlinnotch._entry.clock import read_clock
from merlinnotch._errors import ChangesExpired, StoreConflict, StoreUnavailable
from merlinnotch._http import HttpServer
from merlinnotch._store import get_revision
from merlinnotch.platform import PlatformStore
from standins.platform_store import StandInStore
from standins.platform_upstream import StandInUpstream


@pytest.fixture
def server():
    server = StandInStore()
    yield server
    server.close()


@pytest.fixture
def store(server):
    return PlatformStore(server.address, read_clock, 0.3)


def test_swap_fails_if_the_key_has_changed(store, server):
    modify_index = store.swap("a", b"1", 0)
    with pytest.raises(StoreConflict):
        store.swap("a", b"2", 0)
    store.swap("a", b"3", modify_index)
    assert server.read("a") == b"3"


def test_read_returns_all_pages(store, server):
    for number in range(1100):
        server.put(f"p/{number:04}", b"v")
    listing = store.read("p/", recurse=True)
    assert len(listing.items) == 1100
    assert get_revision(listing.index) == server.revision


def test_read_of_missing_key_returns_no_items(store):
    assert store.read("none").items == ()


def test_watch_returns_written_items_and_deleted_keys(store, server):
    index = store.read("", recurse=True).index
    eventlet.spawn_after(0.05, server.put, "a", b"1")
    changes = store.read_changes("", index, 2.0)
    assert [item.key for item in changes.written] == ["a"]
    server.delete("a")
    server.put("b", b"2")
    changes = store.read_changes("", changes.index, 2.0)
    assert changes.deleted == ("a",)
    assert [item.value for item in changes.written] == [b"2"]


def test_watch_without_changes_returns_promptly(store):
    started_at = read_clock()
    assert store.read_changes("", 0, 0.1).written == ()
    assert read_clock() - started_at < 1.0


def test_watch_from_a_compacted_index_raises_history_lost(store, server):
    server.put("a", b"1")
    server.put("a", b"2")
    server.compact()
    with pytest.raises(ChangesExpired):
        store.read_changes("", 0, 0.1)


@pytest.mark.parametrize("status", [503, 429, 500])
def test_error_status_raises_store_unavailable(store, server, status):
    server.status = status
    with pytest.raises(StoreUnavailable):
        store.read("", recurse=True)


def test_connection_is_not_reused_after_a_lost_reply(store, server):
    server.dropped_replies = 1
    with pytest.raises(StoreUnavailable):
        store.swap("a", b"1", 0)
    assert server.read("a") == b"1"
    assert store.read("a").get("a").value == b"1"


def test_watch_times_out_if_the_store_does_not_reply(store, server):
    server.is_unresponsive = True
    with pytest.raises(StoreUnavailable):
        store.read_changes("", 0, 0.1)
    server.is_unresponsive = False
    assert store.read("", recurse=True).items == ()


def test_refused_connection_raises_store_unavailable(store, server):
    server.close()
    with pytest.raises(StoreUnavailable):
        store.read("a")


def test_keys_are_locked_and_deleted_with_their_lease(store, server):
    lease = store.open_lease(5.0, "me")
    store.put_with_lease("a", b"1", lease)
    store.renew_lease(lease)
    other_lease = replace(lease, number=lease.number + 1)
    assert not store.acquire("a", b"2", other_lease)
    store.close_lease(lease)
    assert server.read("a") is None
    with pytest.raises(StoreConflict):
        store.renew_lease(lease)
    with pytest.raises(StoreConflict):
        store.put_with_lease("a", b"1", lease)


def test_index_rises_when_the_store_is_restored(store, server):
    store_copy = server.take_copy()
    server.put("a", b"1")
    before = store.read("", recurse=True)
    server.restore(store_copy)
    after = store.read("", recurse=True)
    assert after.items == ()
    assert after.index > before.index


def test_watch_from_an_earlier_era_fails(store, server):
    index = store.read("", recurse=True).index
    server.restore(server.take_copy())
    with pytest.raises(ChangesExpired):
        store.read_changes("", index, 0.1)
    # The revisions have passed the index.
    server.put("a", b"1")
    with pytest.raises(ChangesExpired):
        store.read_changes("", index, 0.1)


def test_watch_ends_when_another_call_sees_a_new_era(store, server):
    index = store.read("", recurse=True).index
    server.holds_watches = True
    watch = eventlet.spawn(store.read_changes, "", index, 10.0)
    eventlet.sleep(0.1)
    server.restore(server.take_copy())
    store.read("a")
    with pytest.raises((StoreUnavailable, ChangesExpired)), eventlet.Timeout(1.0):
        watch.wait()


def test_reply_of_an_earlier_era_is_rejected(store, server):
    server.restore(server.take_copy())
    store.read("a")
    server.era -= 1
    with pytest.raises(StoreUnavailable):
        store.read("a")


def test_pages_of_two_eras_are_rejected(store, server):
    for number in range(1100):
        server.put(f"p/{number:04}", b"v")

    def restore_before_second_page(path, query):
        if "after" in query:
            server.restore(server.take_copy())

    server.before_call = restore_before_second_page
    with pytest.raises(ChangesExpired):
        store.read("p/", recurse=True)


def test_swap_with_a_base_of_an_earlier_era_fails(store, server):
    modify_index = store.swap("a", b"1", 0)
    store_copy = server.take_copy()
    server.restore(store_copy)
    with pytest.raises(StoreConflict):
        store.swap("a", b"2", modify_index)
    with pytest.raises(StoreConflict):
        store.swap("a", b"2", modify_index)
    assert server.read("a") == b"2"


def test_lease_of_an_earlier_era_is_neither_renewed_nor_closed(store, server):
    lease = store.open_lease(5.0, "me")
    server.restore(server.take_copy())
    with pytest.raises(StoreConflict):
        store.renew_lease(lease)
    with pytest.raises(StoreConflict):
        store.close_lease(lease)
    assert lease.number in server.leases


def send_slowly(pieces, pause_s):
    """Return the address of a store that sends a reply in *pieces*, *pause_s* apart."""
    listener = eventlet.listen(("127.0.0.1", 0))

    def serve():
        sock, _ = listener.accept()
        sock.recv(4096)
        length = sum(map(len, pieces))
        sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % length)
        for piece in pieces:
            sock.sendall(piece)
            eventlet.sleep(pause_s)

    eventlet.spawn(serve)
    return "{}:{}".format(*listener.getsockname())


PIECES = (b'{"key": "a", ', b'"value": "', b'eA==", ', b'"revision": 3}')


def test_reply_that_arrives_slowly_is_read(server):
    store = PlatformStore(send_slowly(PIECES, 0.2), read_clock, 0.3)
    assert store.read("a").items[0].value == b"x"


def test_reply_that_stops_arriving_is_given_up(server):
    store = PlatformStore(send_slowly(PIECES, 5.0), read_clock, 0.3)
    with pytest.raises(StoreUnavailable), eventlet.Timeout(2.0):
        store.read("a")


@pytest.fixture
def restores(store):
    restores = []
    store.on_restored = lambda: restores.append(store.era)
    return restores


def test_era_that_peers_know_first_counts_as_a_restore_once(store, server, restores):
    store.read("a")
    server.restore(server.take_copy())
    store.advance_era(server.era)
    store.advance_era(server.era - 1)
    store.read("a")
    assert restores == [server.era]


def test_first_era_is_no_restore(store, server, restores):
    store.advance_era(server.era)
    store.read("a")
    assert restores == []


def test_lease_of_an_era_that_peers_know_to_be_over_is_not_renewed(store, server):
    lease = store.open_lease(10.0, "one")
    server.restore(server.take_copy())
    store.advance_era(server.era)
    with pytest.raises(StoreConflict):
        store.renew_lease(lease)


def answer_always(status, reply):
    """Return the address of a store that sends the same *reply* to each call."""

    def respond(request):
        return status, [("content-type", "application/json")], reply

    return HttpServer("127.0.0.1:0", respond, read_clock).address


ITEM = b'{"key": "b", "value": "eA==", "revision": 9, "lease-id": 0, "at": 9}'
PAGE = b'{"items": [{"key": "b", "revision": 9}], "has-more": false, "at": 9}'
CHANGES = b'{"events": [{"key": "b", "revision": 9}], "at": 9}'
WRITTEN = b'{"revision": 3}'
LEASE = b'{"lease-id": 7, "ttl-ms": 5000}'


@pytest.mark.parametrize(
    ("call", "status", "reply"),
    [
        (lambda store: store.read("a"), 200, ITEM),
        (lambda store: store.read("a", recurse=True), 200, CHANGES),
        (lambda store: store.read("a", recurse=True), 200, PAGE),
        (lambda store: store.read_changes("", 0, 0.1), 200, ITEM),
        (lambda store: store.read_changes("", 0, 0.1), 200, PAGE),
        (lambda store: store.read_changes("a", 0, 0.1), 200, CHANGES),
        (lambda store: store.put("a", b"1"), 200, LEASE),
        (lambda store: store.swap("a", b"1", 3), 200, WRITTEN),
        (lambda store: store.swap("a", b"1", 3), 412, PAGE),
        (lambda store: store.open_lease(5.0, "me"), 200, WRITTEN),
    ],
)
def test_reply_to_another_call_is_not_believed(call, status, reply):
    store = PlatformStore(answer_always(status, reply), read_clock, 0.3)
    with pytest.raises(StoreUnavailable):
        call(store)


def test_connection_with_a_reply_to_another_call_is_closed():
    def write_item(request, write):
        write(b"HTTP/1.1 200 X\r\ncontent-length: %d\r\n\r\n" % len(ITEM) + ITEM)
        return True

    server = StandInUpstream(write_item)
    store = PlatformStore(server.address, read_clock, 0.3)
    store.read("b")
    with pytest.raises(StoreUnavailable):
        store.read("a")
    store.read("b")
    assert server.connection_count == 2

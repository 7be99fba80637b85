"""A configuration that is larger than a message, over narrow links."""

import collections

import eventlet
import pytest

from merlinnotch._entry.process import EntryProcess
from standins.link import Link, LinkProxy
from tests.platform_world import HOST, make_routes, wait_until

ROUTE_COUNT = 1400
LINK_BYTES_PER_S = 5e6 / 8
STORE_LINK_BYTES_PER_S = 2e6 / 8
FETCH_S = 1.0
"""Part of a configuration's time limit in which followers may fetch it."""
FOLLOWERS_PER_WATCHER = 7
NAMES = ("one", "two", "three", "four", "five")


@pytest.fixture
def peer_bytes(monkeypatch):
    """Return the bytes between instances by the instance that serves them."""
    sizes = collections.Counter()

    def record(process, size):
        sizes[process.settings.instance.name] += size

    monkeypatch.setattr(EntryProcess, "_record_peer_bytes", record)
    return sizes


def make_many_routes():
    plain = make_routes()[0]
    return make_routes() + [
        plain | {"name": f"r-{number}", "path-prefix": f"/{number * 7919:x}/"}
        for number in range(ROUTE_COUNT)
    ]


def test_followers_fetch_a_large_configuration_in_time_over_a_narrow_link(
    world, peer_bytes
):
    world.add_upstream("i-1")
    zone = [world.add_instance(name, in_force_ms=20_000) for name in NAMES]
    for one in zone:
        wait_until(lambda one=one: len(one.view.list_present_peers()) == len(NAMES))
    eventlet.sleep(1.0)
    peer_bytes.clear()
    world.configure(routes=make_many_routes())
    for one in zone:
        wait_until(lambda one=one: one.view.configuration.version == 2, 15.0)
        assert one.view.configuration.find_route(HOST, f"/{7919:x}/a").name == "r-1"
    followers = [one for one in zone if not one.change_forwarder.is_watcher()]
    bytes_per_follower = sum(peer_bytes.values()) / len(followers)
    assert bytes_per_follower * FOLLOWERS_PER_WATCHER <= LINK_BYTES_PER_S * FETCH_S


@pytest.fixture
def narrow_instance(world):
    """Return an instance whose link to the store carries 2 Mbit/s."""
    world.add_upstream("i-1")
    link = Link(STORE_LINK_BYTES_PER_S)
    proxy = LinkProxy(world.store.address, link.outbound, link.inbound)
    return world.add_instance(store_address=proxy.address)


def test_watch_whose_reply_takes_longer_than_a_call_is_read(
    world, narrow_instance, caplog
):
    world.configure(routes=make_many_routes())
    wait_until(lambda: narrow_instance.view.configuration.version == 2, 15.0)
    assert "store unavailable" not in caplog.messages


def test_full_read_that_takes_longer_than_a_call_is_read(world):
    world.add_upstream("i-1")
    world.configure(routes=make_many_routes())
    link = Link(STORE_LINK_BYTES_PER_S)
    proxy = LinkProxy(world.store.address, link.outbound, link.inbound)
    instance = world.start_instance(store_address=proxy.address)
    wait_until(lambda: instance.view.is_ready, 15.0)

"""Synchronization with the store through failures."""

import eventlet
from msgspec.structs import replace

from merlinnotch._fleet.view import EXPIRED_ENTRY_GRACE_S
from standins.platform_store import StandInStore
from tests.platform_world import (
    PLAIN_PATH,
    PORTS,
    Caller,
    make_configuration,
    wait_until,
)


def get_version(process):
    return process.view.configuration.version


def test_new_configuration_takes_effect_at_once(world):
    world.add_upstream("i-1")
    one = world.add_instance()
    assert Caller(one).send(PLAIN_PATH).status == 200
    world.configure(tenants=[{"name": "other", "api-keys": ["other"]}])
    wait_until(lambda: get_version(one) == 2)
    assert Caller(one).send(PLAIN_PATH).status == 401


def test_lost_store_history_is_replaced_by_a_full_read(world):
    world.add_upstream("i-1")
    world.add_upstream("i-2")
    one = world.add_instance()
    world.configure()
    world.store.delete("servers/i-1")
    world.store.compact()
    wait_until(lambda: get_version(one) == 2)
    wait_until(lambda: len(one.view.list_upstreams("app")) == 1)


def test_requests_are_served_during_store_outage(world):
    world.add_upstream("i-1")
    one = world.add_instance()
    world.store.is_unresponsive = True
    wait_until(lambda: not one.store_sync.is_connected)
    assert Caller(one).send(PLAIN_PATH).status == 200
    world.store.is_unresponsive = False
    wait_until(lambda: one.store_sync.is_connected)


def test_instance_without_store_access_gets_changes_from_peers(world):
    world.add_upstream("i-1")
    one, two = world.add_instance("one"), world.add_instance("two")
    wait_until(lambda: len(one.view.peers) == len(two.view.peers) == 2)
    one.store.set_address(PORTS.pick("127.0.0.1"))
    wait_until(lambda: not one.store_sync.is_connected)
    world.configure(tenants=[{"name": "other", "api-keys": ["other"]}])
    world.store.delete("servers/i-1")
    wait_until(lambda: get_version(one) == 2)
    assert one.view.list_upstreams("app") == []


def test_changed_store_address_takes_effect(world):
    world.add_upstream("i-1")
    one = world.add_instance()
    other = StandInStore()
    other.revision = 100
    other.put("op/config", make_configuration(9))
    store = replace(one.settings.store, address=other.address)
    one.reload(replace(one.settings, store=store))
    wait_until(lambda: get_version(one) == 9)
    other.close()


def test_entry_that_expired_in_an_outage_is_kept_for_a_while(world):
    world.add_upstream("i-1")
    one = world.add_instance()
    world.store.is_unresponsive = True
    wait_until(lambda: not one.store_sync.is_connected)
    deadline = one.read_clock() + 1.2
    world.store.delete("servers/i-1")
    wait_until(lambda: one.read_clock() > deadline)
    world.store.is_unresponsive = False
    wait_until(lambda: one.store_sync.is_connected)
    assert Caller(one).send(PLAIN_PATH).status == 200
    wait_until(lambda: not one.view.list_upstreams("app"), EXPIRED_ENTRY_GRACE_S + 2.0)


def test_requests_without_configuration_get_503(world):
    world.store.delete("op/config")
    world.store.compact()
    world.add_upstream("i-1")
    one = world.start_instance()
    assert Caller(one).send(PLAIN_PATH).status == 503
    assert Caller(one).send("/nowhere/").status == 503


def test_failing_store_is_called_with_backoff(world):
    world.add_upstream("i-1")
    one = world.add_instance()
    world.store.status = 503
    wait_until(lambda: not one.store_sync.is_connected)
    count = len(world.store.calls)
    deadline = one.read_clock() + 4.0
    wait_until(lambda: one.read_clock() > deadline)
    # A busy machine calls less often, but calls go on.
    assert 2 <= len(world.store.calls) - count <= 9
    world.store.status = None
    wait_until(lambda: one.store_sync.is_connected)


def test_store_that_drops_each_history_is_read_with_pauses(world):
    world.add_upstream("i-1")
    one = world.add_instance()
    wait_until(lambda: one.store_sync.is_connected)
    # Nothing says that the revisions have gone back.
    world.store.revision += 100
    world.store.put("op/other", {})
    wait_until(lambda: "op/other" in one.mirror.items)
    world.store.revision = world.store.compacted_revision = 1
    before = world.store.calls.count(("GET", "/kv-range"))
    eventlet.sleep(1.0)
    assert world.store.calls.count(("GET", "/kv-range")) - before <= 6


def get_sources(caplog, version):
    """Return the sources from which instances learned a configuration, sorted."""
    records = [r for r in caplog.records if r.message == "configuration learned"]
    return sorted(r.source for r in records if r.version == version)


def test_log_tells_how_a_configuration_was_learned(world, caplog):
    caplog.set_level("INFO", "merlinnotch")
    world.add_upstream("i-1")
    zone = [world.add_instance(name) for name in ("one", "two", "three", "four")]
    for one in zone:
        wait_until(lambda one=one: len(one.view.peers) == len(zone))
    eventlet.sleep(0.5)
    assert set(get_sources(caplog, 1)) == {"full read"}
    world.configure(keys=[f"key-{number:040}" for number in range(60)])
    for one in zone:
        wait_until(lambda one=one: get_version(one) == 2)
    assert len(get_sources(caplog, 2)) == len(zone)
    assert "watch" in get_sources(caplog, 2)
    assert "watcher" in get_sources(caplog, 2)


def test_log_tells_that_a_configuration_was_learned_from_a_peer(world, caplog):
    caplog.set_level("INFO", "merlinnotch")
    world.add_upstream("i-1")
    one, two = world.add_instance("one"), world.add_instance("two")
    wait_until(lambda: len(one.view.peers) == len(two.view.peers) == 2)
    one.store.set_address(PORTS.pick("127.0.0.1"))
    wait_until(lambda: not one.store_sync.is_connected)
    world.configure()
    wait_until(lambda: get_version(one) == 2)
    assert "peer" in get_sources(caplog, 2)

"""The store comes back from an older copy: what was written since then is lost."""

import eventlet
import pytest

from merlinnotch._fleet import RolloutState
from merlinnotch._fleet import view as view_module
from merlinnotch._store import get_revision
from tests.platform_world import (
    PLAIN_PATH,
    PORTS,
    Caller,
    make_configuration,
    wait_until,
)

NAMES = ("one", "two", "three", "four", "five")
IN_TIME_S = 2.0


def get_version(process):
    return process.view.configuration.version


def list_ids(process):
    return {u.id for u in process.view.list_upstreams("app")}


def start_zone(world):
    """Start an upstream and five instances; return these once all know each other."""
    world.add_upstream("i-1")
    zone = [world.add_instance(name) for name in NAMES]
    for one in zone:
        wait_until(lambda one=one: len(one.view.list_present_peers()) == len(NAMES))
    return zone


def restore_after_writes(world, count=5):
    """Restore the store from a copy that lacks the last *count* writes."""
    store_copy = world.store.take_copy()
    for number in range(count):
        world.store.put("op/other", {"number": number})
    for one in world.instances:
        wait_until(
            lambda one=one: get_revision(one.mirror.index) == world.store.revision
        )
    world.store.restore(store_copy)


def wait_for_copy(world, one):
    """Wait until *one* has read the restored store."""
    world.store.put("op/other", {})
    wait_until(lambda: one.mirror.items.get("op/other"))


def evacuate_since_copy(world, one):
    """Evacuate zone-a; return a copy of the store from before."""
    store_copy = world.store.take_copy()
    world.store.put("op/evacuate/zone-a", {"zone": "zone-a"})
    wait_until(lambda: one.view.is_zone_evacuated("zone-a"))
    return store_copy


def test_configuration_that_is_written_after_a_restore_takes_effect(world):
    world.add_upstream("i-1")
    one = world.add_instance()
    restore_after_writes(world)
    world.configure(tenants=[{"name": "other", "api-keys": ["other"]}])
    wait_until(lambda: get_version(one) == 2, IN_TIME_S)
    assert Caller(one).send(PLAIN_PATH).status == 401


def test_upstream_that_leaves_after_a_restore_gets_no_requests(world):
    first = world.add_upstream("i-1")
    world.add_upstream("i-2")
    one = world.add_instance()
    restore_after_writes(world)
    world.list_upstream("i-1", "app", first.address, state="draining", seq=1)
    wait_until(lambda: list_ids(one) == {"i-2"}, IN_TIME_S)


def test_restored_store_is_read_once(world):
    world.add_upstream("i-1")
    one = world.add_instance()
    restore_after_writes(world)
    before = world.store.calls.count(("GET", "/kv-range"))
    wait_until(lambda: one.store_sync.is_connected)
    eventlet.sleep(0.5)
    assert world.store.calls.count(("GET", "/kv-range")) - before <= 2


def test_all_instances_of_a_zone_learn_of_a_restore(world):
    world.add_upstream("i-1")
    for name in NAMES:
        world.add_instance(name)
    for one in world.instances:
        wait_until(lambda one=one: len(one.view.peers) == len(NAMES))
    restore_after_writes(world)
    world.configure()
    for one in world.instances:
        wait_until(lambda one=one: get_version(one) == 2, IN_TIME_S)


def test_instance_without_store_access_learns_of_a_restore_from_peers(world):
    world.add_upstream("i-1")
    one, two = world.add_instance("one"), world.add_instance("two")
    wait_until(lambda: len(one.view.peers) == len(two.view.peers) == 2)
    restore_after_writes(world)
    one.store.set_address(PORTS.pick("127.0.0.1"))
    world.configure()
    wait_until(lambda: get_version(two) == 2, IN_TIME_S)
    wait_until(lambda: get_version(one) == 2, IN_TIME_S)


def test_two_restores_in_a_row(world):
    world.add_upstream("i-1")
    one = world.add_instance()
    restore_after_writes(world)
    restore_after_writes(world, count=2)
    world.configure()
    wait_until(lambda: get_version(one) == 2, IN_TIME_S)


def test_zone_follows_two_restores_within_a_second(world):
    store_copy = world.store.take_copy()
    zone = start_zone(world)
    world.store.restore(store_copy)
    eventlet.sleep(0.5)
    world.store.restore(store_copy)
    world.list_upstream("i-1", "app", world.upstreams["i-1"].address, seq=1)
    world.configure()
    for one in zone:
        wait_until(lambda one=one: get_version(one) == 2, IN_TIME_S)
    for name in NAMES:
        key = f"merlinnotch/peers/{name}"
        wait_until(lambda key=key: world.store.read(key), IN_TIME_S)


def test_history_is_dropped_right_after_a_restore(world):
    zone = start_zone(world)
    restore_after_writes(world)
    world.configure()
    world.store.compact()
    for one in zone:
        wait_until(lambda one=one: get_version(one) == 2, IN_TIME_S)


def test_configuration_of_the_copy_does_not_replace_a_newer_one(world):
    world.add_upstream("i-1")
    one = world.add_instance()
    store_copy = world.store.take_copy()
    world.configure(tenants=[{"name": "other", "api-keys": ["other"]}])
    wait_until(lambda: get_version(one) == 2)
    world.store.restore(store_copy)
    wait_for_copy(world, one)
    assert get_version(one) == 2
    assert Caller(one).send(PLAIN_PATH).status == 401
    world.store.put("op/config", make_configuration(3))
    wait_until(lambda: get_version(one) == 3, IN_TIME_S)


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_entry_of_the_copy_does_not_bring_a_leaving_upstream_back(world, state):
    first = world.add_upstream("i-1")
    world.add_upstream("i-2")
    one = world.add_instance()
    store_copy = world.store.take_copy()
    if state == "draining":
        world.list_upstream("i-1", "app", first.address, state="draining", seq=1)
    else:
        world.store.delete("servers/i-1")
    wait_until(lambda: list_ids(one) == {"i-2"})
    world.store.restore(store_copy)
    wait_for_copy(world, one)
    assert list_ids(one) == {"i-2"}


def test_upstream_that_writes_its_entry_after_the_restore_is_used_again(world):
    first = world.add_upstream("i-1")
    world.add_upstream("i-2")
    one = world.add_instance()
    store_copy = world.store.take_copy()
    world.store.delete("servers/i-1")
    wait_until(lambda: list_ids(one) == {"i-2"})
    world.store.restore(store_copy)
    world.list_upstream("i-1", "app", first.address, seq=1)
    wait_until(lambda: list_ids(one) == {"i-1", "i-2"}, IN_TIME_S)


def test_upstream_whose_entry_is_lost_is_kept_until_it_writes_it_again(world):
    world.add_upstream("i-1")
    one = world.add_instance()
    store_copy = world.store.take_copy()
    second = world.add_upstream("i-2")
    wait_until(lambda: list_ids(one) == {"i-1", "i-2"})
    world.store.restore(store_copy)
    wait_for_copy(world, one)
    assert list_ids(one) == {"i-1", "i-2"}
    world.list_upstream("i-2", "app", second.address, seq=1)
    eventlet.sleep(2.5)
    assert list_ids(one) == {"i-1", "i-2"}


def test_address_of_an_instance_is_written_again(world):
    store_copy = world.store.take_copy()
    world.add_upstream("i-1")
    one = world.add_instance()
    wait_until(lambda: one.view.list_present_peers())
    world.store.restore(store_copy)
    wait_until(lambda: world.store.read("merlinnotch/peers/one"), IN_TIME_S)
    wait_until(lambda: one.view.list_present_peers(), IN_TIME_S)


def test_addresses_of_instances_that_follow_watchers_are_written_again(world):
    store_copy = world.store.take_copy()
    start_zone(world)
    # Registrations are renewed every 10 s.
    eventlet.sleep(0.5)
    world.store.restore(store_copy)
    for name in NAMES:
        key = f"merlinnotch/peers/{name}"
        wait_until(lambda key=key: world.store.read(key), IN_TIME_S)


def test_instance_that_starts_after_a_restore_knows_all_others(world):
    store_copy = world.store.take_copy()
    start_zone(world)
    world.store.restore(store_copy)
    world.list_upstream("i-1", "app", world.upstreams["i-1"].address, seq=1)
    world.configure()
    six = world.add_instance("six")
    wait_until(lambda: len(six.view.list_present_peers()) == len(NAMES) + 1, IN_TIME_S)


def test_calls_of_an_instance_that_follows_watchers_are_of_the_new_era(world):
    store_copy = world.store.take_copy()
    zone = start_zone(world)
    world.store.restore(store_copy)
    for one in zone:
        wait_until(lambda one=one: one.mirror.era == world.store.era, IN_TIME_S)
        assert one.store.era == one.mirror.era


def test_peers_stay_present_until_they_are_written_again(world):
    store_copy = world.store.take_copy()
    world.add_upstream("i-1")
    one, two = world.add_instance("one"), world.add_instance("two")
    wait_until(lambda: len(one.view.list_present_peers()) == 2)
    two.store.set_address(PORTS.pick("127.0.0.1"))
    world.store.restore(store_copy)
    wait_for_copy(world, one)
    assert len(one.view.list_present_peers()) == 2


def test_block_is_written_again(world):
    world.add_upstream("i-1")
    one = world.add_instance()
    store_copy = world.store.take_copy()
    fingerprint = b"\x01" * 12
    key = f"merlinnotch/blocked/{fingerprint.hex()}"
    world.store.put(key, b"")
    wait_until(lambda: fingerprint in one.view.blocked)
    world.store.restore(store_copy)
    wait_until(lambda: world.store.read(key) is not None, IN_TIME_S + 2.0)
    assert fingerprint in one.view.blocked


def test_evacuation_that_is_lost_applies_until_it_is_written_again(world):
    world.add_upstream("i-1")
    one = world.add_instance()
    world.store.restore(evacuate_since_copy(world, one))
    wait_for_copy(world, one)
    assert one.view.is_zone_evacuated("zone-a")
    world.store.put("op/evacuate/zone-a", {"zone": "zone-a"})
    eventlet.sleep(2.5)
    assert one.view.is_zone_evacuated("zone-a")


def test_evacuation_that_nobody_writes_again_ends(world, monkeypatch):
    monkeypatch.setattr(view_module, "LOST_ENTRY_GRACE_S", 0.5)
    world.add_upstream("i-1")
    one = world.add_instance()
    world.store.restore(evacuate_since_copy(world, one))
    wait_until(lambda: not one.view.is_zone_evacuated("zone-a"))


def test_final_state_of_a_rollout_is_written_again(world):
    world.add_upstream("i-1", version="v2")
    one = world.add_instance()
    world.store.put(
        "op/rollout/app", {"service": "app", "target": "v2", "period-s": 60.0}
    )
    wait_until(lambda: world.store.read("status/rollout/app"))
    store_copy = world.store.take_copy()
    status = {"service": "app", "target": "v2", "state": "complete"}
    world.store.put("status/rollout/app", status)
    wait_until(lambda: one.view.get_rollout("app").state is RolloutState.COMPLETE)
    world.store.restore(store_copy)
    wait_until(lambda: b"complete" in world.store.read("status/rollout/app"), IN_TIME_S)
    assert one.view.get_rollout("app").state is RolloutState.COMPLETE

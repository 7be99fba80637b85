"""Forwarding of store changes from a zone's watchers to its other instances."""

import eventlet
import pytest

from merlinnotch._entry.datagrams import MessageKind
from merlinnotch._store import build_index, get_era, get_revision
from tests.platform_world import PORTS, make_configuration, wait_until

NAMES = ("one", "two", "three", "four", "five")


@pytest.fixture
def zone(world):
    """Return five instances of one zone that know each other."""
    world.add_upstream("i-1")
    instances = [world.add_instance(name) for name in NAMES]
    for instance in instances:
        wait_until(lambda one=instance: len(one.view.peers) == len(NAMES))
    eventlet.sleep(0.5)
    return instances


def list_watchers(zone):
    return [one for one in zone if one.change_forwarder.is_watcher()]


def list_followers(zone):
    return [one for one in zone if not one.change_forwarder.is_watcher()]


def get_version(process):
    return process.view.configuration.version


def count_watches(one):
    value = one.metrics.registry.get_sample_value
    return value("merlinnotch_store_calls_total", {"kind": "watch"}) or 0


def add_patient_zone(world):
    """Return five instances that go without a message for 19 s."""
    world.add_upstream("i-1")
    zone = [world.add_instance(name, in_force_ms=20_000) for name in NAMES]
    for instance in zone:
        wait_until(lambda one=instance: len(one.view.peers) == len(NAMES))
    return zone


def test_only_watchers_of_a_zone_call_the_store(world):
    # A long validity keeps a slow machine from falling back to watches.
    zone = add_patient_zone(world)
    world.configure()
    for one in zone:
        wait_until(lambda one=one: get_version(one) == 2)
    for one in list_followers(zone):
        wait_until(
            lambda one=one: (
                one.change_forwarder.get_remaining_validity_s(one.read_clock()) > 0
            )
        )
    # Let pending watches and pauses end.
    eventlet.sleep(2.5)
    assert len(list_watchers(zone)) == 2
    before = [count_watches(one) for one in list_followers(zone)]
    world.configure()
    for one in zone:
        wait_until(lambda one=one: get_version(one) == 3)
    eventlet.sleep(1.0)
    assert [count_watches(one) for one in list_followers(zone)] == before


def test_change_that_exceeds_a_datagram_is_fetched(world, zone):
    world.configure(keys=[f"key-{number:040}" for number in range(60)])
    for one in zone:
        wait_until(lambda one=one: get_version(one) == 2)


def test_followers_watch_the_store_after_the_watchers_stopped(world, zone):
    followers = list_followers(zone)
    for one in list_watchers(zone):
        one.stop()
        world.instances.remove(one)
    # Their leases remain, so that the followers still count them as present.
    world.configure()
    for one in followers:
        wait_until(lambda one=one: get_version(one) == 2, 2.0)


def test_followers_watch_the_store_while_watchers_can_not_reach_it(world, zone):
    for one in list_watchers(zone):
        one.store.set_address(PORTS.pick("127.0.0.1"))
    for one in list_watchers(zone):
        wait_until(lambda one=one: not one.store_sync.is_connected)
    world.configure()
    for one in list_followers(zone):
        wait_until(lambda one=one: get_version(one) == 2, 2.0)


def test_follower_without_store_access_gets_changes_from_watchers(world, zone):
    one = list_followers(zone)[0]
    one.store.set_address(PORTS.pick("127.0.0.1"))
    world.store.delete("servers/i-1")
    wait_until(lambda: one.view.list_upstreams("app") == [], 1.0)


def test_follower_that_lacks_changes_reads_the_store_until_it_has_them(world):
    zone = add_patient_zone(world)
    one, other, _ = list_followers(zone)
    wait_until(
        lambda: one.change_forwarder.get_remaining_validity_s(one.read_clock()) > 0
    )
    for watcher in list_watchers(zone):
        watcher.stop()
        world.instances.remove(watcher)
    one.store.set_address(PORTS.pick("127.0.0.1"))
    # Nobody can be asked for the changes that this message announces.
    index = one.mirror.index
    body = [PORTS.pick("127.0.0.1"), index + 1, index + 2, None, None]
    recipients = [one.settings.instance.peer_address]
    before = count_watches(one)
    other.datagrams.send(MessageKind.STORE_CHANGES, body, recipients)
    wait_until(lambda: count_watches(one) >= before + 3)


def test_stopped_watcher_is_replaced(world, zone):
    stopped = list_watchers(zone)[0]
    stopped.stop()
    world.instances.remove(stopped)
    world.store.delete(f"merlinnotch/peers/{stopped.settings.instance.name}")
    rest = [one for one in zone if one is not stopped]
    wait_until(lambda: len(list_watchers(rest)) == 2)


def test_followers_keep_entries_that_expired_in_an_outage(world, zone):
    one = list_followers(zone)[0]
    world.store.is_unresponsive = True
    for other in zone:
        wait_until(lambda other=other: not other.store_sync.is_connected)
    eventlet.sleep(1.2)
    world.store.delete("servers/i-1")
    world.store.is_unresponsive = False
    wait_until(lambda: get_revision(one.mirror.index) == world.store.revision)
    assert len(one.view.list_upstreams("app")) == 1


def test_forwarded_older_configuration_is_ignored(world, zone):
    world.configure()
    one = list_followers(zone)[0]
    wait_until(lambda: get_version(one) == 2)
    world.store.put("op/config", make_configuration(1))
    eventlet.sleep(0.5)
    assert get_version(one) == 2


def test_late_message_does_not_confirm_a_newer_state(world):
    # A long validity keeps a slow machine from falling back to watches.
    zone = add_patient_zone(world)
    one, forwarder = list_followers(zone)[0], list_followers(zone)[0].change_forwarder
    wait_until(lambda: forwarder.get_remaining_validity_s(one.read_clock()) > 0)
    forwarder._transport.handle(MessageKind.STORE_CHANGES, lambda body: None)
    eventlet.sleep(0.1)
    forwarder.record_missed()
    watch_count = count_watches(one)
    index = one.mirror.index
    index = build_index(get_era(index), get_revision(index) - 1)
    sender = list_watchers(zone)[0].settings.instance.peer_address
    forwarder._handle_changes([sender, index, index, [[], []], None])
    wait_until(lambda: count_watches(one) > watch_count)

"""Registration of an instance in the store."""

import eventlet

from merlinnotch._entry import announcer
from tests.platform_world import wait_until

KEY = "merlinnotch/peers/one"


def test_instance_that_is_stopping_does_not_register_again(world, monkeypatch):
    monkeypatch.setattr(announcer, "RENEWAL_INTERVAL_S", 0.05)
    monkeypatch.setattr(announcer, "RETRY_DELAY_S", 0.05)
    world.add_upstream("i-1")
    one = world.add_instance()
    wait_until(lambda: world.store.read(KEY))
    eventlet.spawn(one.shut_down)
    wait_until(lambda: world.store.read(KEY) is None)
    eventlet.sleep(0.5)
    assert world.store.read(KEY) is None


def test_instance_whose_lease_has_ended_registers_again(world, monkeypatch):
    monkeypatch.setattr(announcer, "RENEWAL_INTERVAL_S", 0.05)
    monkeypatch.setattr(announcer, "RETRY_DELAY_S", 0.05)
    world.add_upstream("i-1")
    world.add_instance()
    wait_until(lambda: world.store.read(KEY))
    for lease in list(world.store.leases):
        world.store.revoke_lease(lease)
    wait_until(lambda: world.store.read(KEY))

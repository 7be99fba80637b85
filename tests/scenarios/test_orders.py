"""Steps of the scenarios about orders."""

import time

from pytest_bdd import parsers, scenarios, then, when

from standins import http
from standins.stack import wait_for

scenarios("orders.feature")

POOL = (
    "tuning.toml",
    "[tuning]",
    "[pools.language]\nmanage_versions = true\n\n[tuning]",
)
V2 = ("models.toml", 'v2]\nstate = "draining"', 'v2]\nstate = "withdrawn"')
V4 = (
    "models.toml",
    'v4]\nstate = "rolling-out"\nshare = 0.1',
    'v4]\nstate = "withdrawn"',
)
STAYS_S = 3.0


def read_loaded(world):
    addresses = world.stack.engines.values()
    return [set(http.get(a, "/load")["versions"]) for a in addresses]


@when("the pool is managed and swift@v2 is withdrawn")
def _manage(world):
    world.stack.apply(world.edit(POOL, V2))


@when("the holder of zone-a is frozen before the next change")
def _freeze_holder(world):
    wait_for(lambda: holder_of(world) is not None, "a holder")
    world.notes["holder"] = holder_of(world)
    world.notes["holder"].process.freeze()


def holder_of(world):
    for entry in world.stack.entries[:2]:
        if world.metric_of(entry, 'merlinnotch_orders_total{reply="accepted"}'):
            return entry
    return None


@when("swift@v4 is withdrawn as well")
def _withdraw_v4(world):
    world.stack.apply(world.edit(POOL, V2, V4))


@when("the frozen holder goes on")
def _thaw_holder(world):
    world.notes["holder"].process.thaw()


@then(parsers.parse('all engines have "{versions}" loaded'))
def _loaded(world, versions):
    wanted = set(versions.split())
    wait_for(
        lambda: all(loaded == wanted for loaded in read_loaded(world)),
        f"{versions} loaded",
        60.0,
    )


@then(parsers.parse('all engines have "{versions}" loaded for good'))
def _loaded_for_good(world, versions):
    time.sleep(STAYS_S)
    _loaded(world, versions)

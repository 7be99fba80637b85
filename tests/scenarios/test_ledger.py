"""Steps of the ledger's scenarios."""

import time

from pytest_bdd import given, parsers, scenarios, then, when

from standins.stack import wait_for

scenarios("ledger.feature")


@then(parsers.parse('booking "{key}" has run at most once'))
def _at_most_once(world, key):
    assert world.service_runs(key) <= 1


@then(parsers.parse('booking "{key}" ends up answered after being told to come back'))
def _ends_up_answered(world, key):
    def try_again():
        world.answers.append(world.book(1, key))
        return world.answers[-1].status == 200

    wait_for(try_again, "the booking is answered")
    assert world.service_runs(key) == 1


@when(parsers.parse("{count:d} bookings are sent through entry {n:d}"))
def _many(world, count, n):
    for number in range(count):
        world.answers.append(world.book(n, f"many-{number}"))


@then(parsers.parse("each of the {count:d} bookings has run once and was answered"))
def _each_once(world, count):
    assert [a.status for a in world.answers] == [200] * count
    assert [world.service_runs(f"many-{n}") for n in range(count)] == [1] * count


@given("zone-a is cut off from its peers but not from the store")
def _cut_peers(world):
    inside = {e.host for e in world.stack.entries if e.zone == "zone-a"}
    outside = {e.host for e in world.stack.entries} - inside
    for entry in world.stack.entries:
        entry.forwarder.cut(outside if entry.zone == "zone-a" else inside)
    wait_for(lambda: world.metric(0, "merlinnotch_live_members ") == 2, "suspicion")
    wait_for(lambda: world.metric(2, "merlinnotch_live_members ") == 2, "suspicion")


@when(parsers.parse("{count:d} bookings are sent through both zones at once"))
def _both(world, count):
    for number in range(count):
        for entry in (0, 2):
            world.later(world.book, entry, f"both-{number}")
    world.answers += world.gather()


@then(parsers.parse("each of the {count:d} bookings has run at most once"))
def _each_at_most_once(world, count):
    runs = [world.service_runs(f"both-{n}") for n in range(count)]
    assert all(run <= 1 for run in runs)
    told = [a.outcome for a in world.answers]
    assert set(told) <= {"answered", "unknown"}
    world.notes["runs"] = sum(runs)


@then("every booking ends up billed as often as it ran")
def _billed_as_run(world):
    world.wait_for_bills(world.notes["runs"])
    assert world.read_bills() == world.notes["runs"]


@when("all plain services say that they are leaving")
def _all_leaving(world):
    world.set_services(leaving=True)
    for name in world.stack.services:
        wait_for(lambda n=name: world.knows_leaving(2, n), f"{name} leaving")


@when(parsers.parse('question "{key}" is asked through entries 0 and 2'))
def _ask_both(world, key):
    for entry in (0, 2):
        world.later(world.chat, entry, "swift", headers={"Idempotency-Key": key})
    world.answers += world.gather()


@then(parsers.parse('two runs of question "{key}" have ended'))
def _two_runs(world, key):
    runs = [run for run in world.engine_runs() if run["request_id"] == key]
    assert [run["finished"] for run in runs] == [True, True]


@then("exactly 1 request is billed for good")
def _billed_for_good(world):
    posted = 'merlinnotch_bills_total{step="posted"}'
    for entry in (0, 2):
        wait_for(lambda e=entry: world.metric(e, posted) == 1, f"bill of {entry}")
    assert world.read_bills() == 1


@when(
    parsers.parse('booking "{key}" is repeated through entry {n:d} in the background')
)
def _repeat_beside(world, key, n):
    world.later(world.book, n, key, **{"X-Merlinnotch-Deadline-Ms": "60000"})
    time.sleep(0.5)


@when(parsers.parse("entry {n:d} is paused for {seconds:g} seconds"))
def _pause(world, n, seconds):
    world.entry(n).process.freeze()
    time.sleep(seconds)
    world.entry(n).process.thaw()

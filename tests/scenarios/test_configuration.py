"""Steps of the configuration's scenarios."""

import threading

from pytest_bdd import given, parsers, scenarios, then, when

from standins import http
from standins.stack import wait_for

scenarios("configuration.feature")

LIMIT = ("tuning.toml", "queue_limit = 256")


def edit_limit(world, limit):
    return str(world.edit((*LIMIT, f"queue_limit = {limit}")))


def run_apply(world, folder, *options):
    world.notes["result"] = world.stack.run_command("apply", folder, *options)


@when("two operators apply different files planned against revision 1")
def _race(world):
    folders = [edit_limit(world, limit) for limit in (100, 200)]
    results = []

    def apply(folder):
        results.append(world.stack.run_command("apply", folder, "--against", "1"))

    threads = [threading.Thread(target=apply, args=(f,)) for f in folders]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    world.notes["results"] = sorted(results)


@then("one of them gets revision 2 and the other a conflict that names it")
def _one_winner(world):
    (won, _), (lost, text) = world.notes["results"]
    assert (won, lost) == (0, 4)
    assert "revision 2 by demo" in text


@when("an operator applies an edit")
def _apply(world):
    run_apply(world, edit_limit(world, 100))


@when("an operator applies an edit and waits")
def _apply_and_wait(world):
    run_apply(world, edit_limit(world, 100), "--wait", "10")


@when("an operator applies another edit and waits")
def _apply_other_and_wait(world):
    run_apply(world, edit_limit(world, 50), "--wait", "2")


@when("an operator applies files with several faults")
def _apply_bad(world):
    folder = world.edit(
        (*LIMIT, "queue_limit = 0"), ("kinds.toml", "quality_target", "quality")
    )
    run_apply(world, str(folder))


@then(parsers.parse("the command ends with code {code:d}"))
def _check_code(world, code):
    assert world.notes["result"][0] == code, world.notes["result"][1]


@then("every fault is named")
def _check_faults(world):
    text = world.notes["result"][1]
    assert "tuning.toml: [tuning] queue_limit: found 0" in text
    assert text.count("quality_target: found nothing") == 4


@then(parsers.parse("revision {number:d} is in force on entries 0, 1, 2 and 3"))
def _in_force_everywhere(world, number):
    for entry in range(4):
        wait_for(
            lambda e=entry: world.revision(e) == number, f"{number} on entry {entry}"
        )


@then(parsers.parse("revision {number:d} is in force on entry {n:d}"))
def _in_force(world, number, n):
    wait_for(lambda: world.revision(n) == number, f"{number} on entry {n}")


@then(parsers.parse("entry {n:d} answers a question"))
def _answers(world, n):
    assert world.chat(n).status == 200


@given("watches of the store have gone silent")
def _mute(world):
    world.set_store(mute_watches=True)


@given("zone-a is cut off from the store only")
def _cut_store(world):
    hosts = [e.host for e in world.stack.entries if e.zone == "zone-a"]
    http.put(world.stack.kv, "/standin/cut", hosts)
    # A watch that was under way would still tell them.
    failures = "merlinnotch_store_failures_total"
    for entry in (0, 1):
        wait_for(lambda e=entry: world.metric(e, failures) > 0, f"entry {entry} cut")


@given("the store's state is saved")
def _save(world):
    world.notes["dump"] = http.get(world.stack.kv, "/standin/dump")


@when("the store is put back to the saved state")
def _restore(world):
    http.put(world.stack.kv, "/standin/restore", world.notes["dump"])


@then("the store holds revision 2 again")
def _repaired(world):
    def holds():
        _, output = world.stack.run_command("status")
        return "revision in the store: 2" in output

    wait_for(holds, "repair")


@then("no entry went back from revision 2")
def _no_revert(world):
    assert [world.revision(entry) for entry in range(4)] == [2] * 4
    older = [
        world.metric(e, 'merlinnotch_revision_offers_total{result="older"}')
        for e in range(4)
    ]
    assert sum(older) >= 1

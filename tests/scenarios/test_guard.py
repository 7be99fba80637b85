"""Steps of the guard's scenario."""

import json

from pytest_bdd import given, scenarios, then, when

from standins.stack import wait_for

scenarios("guard.feature")

TOKEN = "X-Merlinnotch-Session"
SHARE = ("models.toml", "share = 0.1", "share = 0.5\ncleared_revision = {}")
LIMIT = ("tuning.toml", "queue_limit = 256", "queue_limit = 200")
ASKED = 24


def share(cleared):
    return (*SHARE[:2], SHARE[2].format(cleared))


def read_quarantine(world):
    _, output = world.stack.run_command("status", "--json")
    rows = {row["id"]: row for row in json.loads(output)["versions"]}
    return rows["swift@v4"]


@given("swift@v4 takes half of new work, cleared up to revision 50")
def _half(world):
    world.stack.apply(world.edit(share(50)), "--wait", "10")


@given('a session on "swift@v4" was begun')
def _session(world):
    world.session = world.chat(0, "swift@v4").headers[TOKEN]


@when("swift@v4 turns bad")
def _turn_bad(world):
    world.set_engines(bad={"swift@v4": {"mode": "errors"}})


@when("questions are asked until it is quarantined")
def _ask(world):
    def ask():
        for entry in range(4):
            world.chat(entry, "swift")
        return read_quarantine(world)["health"] == "quarantined"

    wait_for(ask, "the quarantine", 60.0)
    world.notes["row"] = read_quarantine(world)


@then("no entry gives it new work")
def _no_work(world):
    for entry in range(4):
        wait_for(
            lambda e=entry: world.chat(e, "swift@v4").kind == "version_quarantined",
            f"quarantine at {entry}",
        )
    runs = len(world.engine_runs("swift@v4"))
    answers = [world.chat(number % 4, "swift") for number in range(ASKED)]
    assert {answer.version for answer in answers} == {"swift@v3"}
    assert len(world.engine_runs("swift@v4")) == runs


@then("its session is refused with a time to come back")
def _refused(world):
    answer = world.chat(1, "listing-assistance", headers={TOKEN: world.session})
    assert (answer.status, answer.kind) == (503, "version_quarantined")
    assert int(answer.headers["Retry-After"]) >= 1


@when("an unrelated change is applied")
def _unrelated(world):
    world.stack.apply(world.edit(share(50), LIMIT), "--wait", "10")


@when("an entry is replaced")
def _replace(world):
    entry = world.entry(2)
    assert entry.process.terminate(30) == 0
    world.stack.start_entry(entry)
    world.stack.wait_until_ready(entry)


@when("swift@v4 is good again and cleared")
def _clear(world):
    world.set_engines(bad={})
    cleared = world.notes["row"]["quarantine_revision"]
    world.stack.apply(world.edit(share(cleared), LIMIT), "--wait", "10")


@then("it gets work again")
def _again(world):
    def ask():
        return world.chat(0, "swift").version == "swift@v4"

    wait_for(ask, "work")

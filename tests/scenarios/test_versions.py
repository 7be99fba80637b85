"""Steps of the versions' scenarios."""

import time

from pytest_bdd import given, parsers, scenarios, then, when

from standins.stack import SIGNING_KEY, wait_for

scenarios("versions.feature")

TOKEN = "X-Merlinnotch-Session"
SERVING_V3 = '[models.swift.versions.v3]\nstate = "serving"'
ROLLING_V4 = '[models.swift.versions.v4]\nstate = "rolling-out"\nshare = 0.1'
SERVING_V4 = '[models.swift.versions.v4]\nstate = "serving"'


def apply_everywhere(world, folder):
    world.stack.apply(folder, "--wait", "10")
    world.notes["changed_at"] = time.time()


def runs_since_change(world, version):
    runs = world.engine_runs(version)
    return [run for run in runs if run["started_at"] > world.notes["changed_at"]]


@given(parsers.parse('a session on "{version}" through entry {n:d}'))
def _session(world, version, n):
    answer = world.chat(n, model=version)
    assert answer.version == version
    world.session = answer.headers[TOKEN]


@when("swift@v3 is withdrawn")
def _withdraw(world):
    state = SERVING_V3.replace("serving", "withdrawn")
    folder = world.edit(("models.toml", SERVING_V3, state))
    apply_everywhere(world, folder)


@when("swift@v3 is drained and swift@v4 serves")
def _drain(world):
    state = SERVING_V3.replace("serving", "draining")
    folder = world.edit(
        ("models.toml", SERVING_V3, state), ("models.toml", ROLLING_V4, SERVING_V4)
    )
    apply_everywhere(world, folder)


@when(parsers.parse("the session goes on through entry {n:d}"))
def _go_on(world, n):
    answer = world.chat(n, "listing-assistance", headers={TOKEN: world.session})
    world.answers.append(answer)


@when(parsers.parse("{count:d} listings are asked through entry {n:d}"))
def _listings(world, count, n):
    world.answers = [
        world.chat(n, "listing-assistance", f"list {number}") for number in range(count)
    ]


@then(parsers.parse('the answer is by "{version}"'))
def _by(world, version):
    assert world.answers[-1].version == version


@then(parsers.parse('no run of "{version}" began after the withdrawal'))
def _no_run(world, version):
    assert runs_since_change(world, version) == []


@then(parsers.parse('only the session ran on "{version}" after the change'))
def _only_session(world, version):
    assert len(runs_since_change(world, version)) == 1


@when("every entry is replaced in turn")
def _replace(world):
    world.replace_entries()


@when("every entry is replaced in turn with a new signing key first")
def _rotate(world):
    folder = world.stack.folder
    (folder / "new.key").write_text(SIGNING_KEY.replace("1", "2"))
    for entry in world.stack.entries:
        path = folder / f"{entry.name}.toml"
        old = 'key_files = ["signing.key"]'
        text = path.read_text()
        assert old in text
        path.write_text(text.replace(old, 'key_files = ["new.key", "signing.key"]'))
    world.replace_entries()


@then("the token altered in any part is refused")
def _altered(world):
    token = world.session
    for place in range(0, len(token), 7):
        changed = "A" if token[place] != "A" else "B"
        altered = token[:place] + changed + token[place + 1 :]
        answer = world.chat(1, headers={TOKEN: altered})
        assert (answer.status, answer.kind) == (400, "bad_session"), place


@then("another team's use of the token is refused")
def _foreign(world):
    answer = world.chat(1, team="growers-portal", headers={TOKEN: world.session})
    assert (answer.status, answer.kind) == (400, "bad_session")


@then(parsers.parse('a team that may use only "{model}" gets no other model'))
@then(
    parsers.parse(
        'a team that may use only "{model}" gets no other model from any entry'
    )
)
def _allowed(world, model):
    for entry in range(4):
        for kind in ("claim-matching", "donor-summary"):
            answer = world.chat(entry, kind, team="volunteers")
            assert answer.version.startswith(model)
        answer = world.chat(entry, "deep", team="volunteers")
        assert (answer.status, answer.kind) == (403, "not_allowed")


@then("a team without leave to pin may not pin")
def _pin(world):
    answer = world.chat(0, "swift@v3", team="growers-portal")
    assert (answer.status, answer.kind) == (403, "not_allowed")


@when("the proofs in zone-a are too old")
def _too_old(world):
    def refused():
        answer = world.chat(0, "swift@v4")
        return answer.kind == "configuration_stale"

    wait_for(refused, "stale proofs")


@then("all of them are answered by settled versions")
def _settled(world):
    versions = {answer.version for answer in world.answers}
    assert {answer.status for answer in world.answers} == {200}
    assert versions <= {"swift@v3", "deep@v1"}

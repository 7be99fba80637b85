"""Steps of the scenarios about clients and commands."""

import json

import openai
import pytest
from pytest_bdd import scenarios, then, when

from standins.stack import wait_for

scenarios("callers.feature")

MESSAGES = [{"role": "user", "content": "hello"}]


def open_client(world, team="claims-desk"):
    url = f"{world.entry(1).url}/v1"
    return openai.OpenAI(api_key=world.keys[team], base_url=url, max_retries=0)


def run_json(world, *arguments):
    code, output = world.stack.run_command(*arguments, "--json")
    assert code == 0, output
    return json.loads(output)


def reported_revisions(world):
    return [row["revision"] for row in run_json(world, "status")["instances"]]


@then("the official client gets a whole and a streamed answer")
def _answers(world):
    create = open_client(world).chat.completions.create
    whole = create(model="donor-summary", messages=MESSAGES)
    assert whole.choices[0].finish_reason == "stop"
    assert whole.usage.total_tokens > 0
    parts = list(
        create(
            model="donor-summary",
            messages=MESSAGES,
            stream=True,
            stream_options={"include_usage": True},
        )
    )
    assert parts[-1].usage.completion_tokens == sum(
        1 for part in parts if part.choices and part.choices[0].delta.content
    )


@then("it sees a refusal as the exception of its status")
def _refusals(world):
    create = open_client(world, "volunteers").chat.completions.create
    with pytest.raises(openai.PermissionDeniedError) as caught:
        create(model="deep", messages=MESSAGES)
    assert caught.value.code == "not_allowed"
    assert caught.value.body["outcome"] == "not-run"
    with pytest.raises(openai.NotFoundError):
        create(model="nothing", messages=MESSAGES)


@then("it lists the kinds and models that its team may use")
def _lists(world):
    names = {model.id for model in open_client(world, "volunteers").models.list()}
    assert "swift" in names
    assert "claim-matching" in names
    assert "deep" not in names


@when("an operator asks for status, history and bills as JSON")
def _ask(world):
    headers = {"Idempotency-Key": "look-me-up"}
    assert world.chat(0, headers=headers).status == 200
    world.wait_for_bills(1)
    # An instance that started last reports its revision a heartbeat later.
    wait_for(lambda: reported_revisions(world) == [1] * 4, "reports")
    for command in ("status", "history", "bills"):
        world.notes[command] = run_json(world, command)


@then("status shows four instances with revision 1 and every version")
def _status(world):
    status = world.notes["status"]
    assert {row["revision"] for row in status["instances"]} == {1}
    states = {row["id"]: row["state"] for row in status["versions"]}
    assert states["swift@v4"] == "rolling-out"
    assert len(states) == 5


@then("history shows one revision")
def _history(world):
    assert [row["number"] for row in world.notes["history"]] == [1]


@then("bills show the team's requests")
def _bills(world):
    assert {row["team"] for row in world.notes["bills"]} == {"claims-desk"}
    assert sum(row["requests"] for row in world.notes["bills"]) == 1


@then("one request can be looked up")
def _look_up(world):
    options = ("bills", "--team", "claims-desk", "--request")
    assert run_json(world, *options, "look-me-up")["status"] == "billed"
    assert run_json(world, *options, "never-seen")["status"] == "none"


@then("the plan of an edit shows just what differs")
def _plan(world):
    folder = world.edit(("tuning.toml", "queue_limit = 256", "queue_limit = 9"))
    plan = run_json(world, "plan", str(folder))
    assert plan["against"] == 1
    assert plan["changes"] == [{"place": "tuning.queue_limit", "old": 256, "new": 9}]

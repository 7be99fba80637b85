"""Steps of the scenarios about whole answers."""

import json
import socket

from pytest_bdd import given, parsers, scenarios, then, when

from standins.stack import answers, wait_for

scenarios("answers.feature")


def stream(world, entry, **options):
    body = {"stream": True, "stream_options": {"include_usage": True}}
    return world.chat(entry, "swift", body=body, **options)


def read_events(answer):
    return [e for e in answer.body.decode().split("\n\n") if e]


def read_words(answer):
    words = []
    for event in read_events(answer):
        if event.startswith("data: {"):
            for choice in json.loads(event[6:]).get("choices", ()):
                words.append(choice["delta"].get("content", ""))
    return [word for word in words if word]


@given(parsers.parse("engines break off each stream after {count:d} tokens"))
def _break(world, count):
    world.set_engines(break_at=count)


@when(parsers.parse("a question is streamed through entry {n:d}"))
def _stream(world, n):
    world.answers.append(stream(world, n))


@then('the stream is whole and ends with "[DONE]"')
def _whole(world):
    answer = world.answers[-1]
    assert answer.status == 200
    assert read_events(answer)[-1] == "data: [DONE]"


@then("the words come once each and in order")
def _in_order(world):
    answer = world.answers[-1]
    resumed = [run for run in world.engine_runs() if run["resumed_at"]]
    assert resumed, "no stream was resumed"
    usage = json.loads(read_events(answer)[-2][6:])["usage"]
    words = read_words(answer)
    assert len(words) == usage["completion_tokens"]
    assert words[0].startswith("[q=")
    assert [w.strip() for w in words[1:5]] == ["a", "small", "box", "of"]


@given("only one engine is left")
def _one_engine(world):
    world.stack.processes["engine-1"].kill()


@when("a long stream through entry 0 loses its engine")
def _lose_engine(world):
    world.set_engine("engine-0", token_ms=100)
    world.later(stream, world, 0)
    wait_for(lambda: world.engine_tokens("engine-0") >= 2, "the stream runs")
    world.stack.processes["engine-0"].kill()
    world.answers += world.gather()


@then('the stream ends with an error event and without "[DONE]"')
def _error_event(world):
    answer = world.answers[-1]
    events = read_events(answer)
    assert answer.status == 200
    assert "data: [DONE]" not in events
    assert json.loads(events[-1][6:])["error"]["outcome"] == "unknown"


@given(parsers.parse('engine "{name}" falls silent'))
def _silent(world, name):
    world.stack.set_switches(world.stack.engines[name], silent=True)


@given("engines answer late, some after their callers gave up")
def _late(world):
    world.set_engines(late_ms=400)


@when("questions with short and long deadlines are mixed through entry 0")
def _mixed(world):
    for number in range(24):
        deadline = "300" if number % 3 else "5000"
        headers = {
            "X-Merlinnotch-Deadline-Ms": deadline,
            "Idempotency-Key": f"late-{number}",
        }
        world.later(world.chat, 0, "swift", f"late {number}", headers=headers)
    world.answers = world.gather()


@then("every answer that came carries its own request's id")
def _own_id(world):
    answered = [a for a in world.answers if a.status == 200]
    assert len(answered) >= 8
    for number, answer in enumerate(world.answers):
        if answer.status == 200:
            completion = json.loads(answer.body)
            assert completion["id"] == f"chatcmpl-late-{number}"
        else:
            assert answer.outcome == "unknown"


@when("a caller of entry 0 goes away in the middle of a stream")
def _go_away(world):
    world.set_engine("engine-0", token_ms=50)
    world.set_engine("engine-1", token_ms=50)
    host, _, port = world.entry(0).caller.partition(":")
    body = json.dumps(
        {
            "model": "swift",
            "stream": True,
            "messages": [{"role": "user", "content": "x"}],
        }
    )
    key = world.keys["claims-desk"]
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {key}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall((head + body).encode())
        caller.recv(1000)


@then("the engine's run is cancelled")
def _cancelled(world):
    wait_for(lambda: any(r["cancelled"] for r in world.engine_runs()), "cancelling")


@given("plain services run and never answer")
def _never_answer(world):
    world.set_services(silent=True)


@when(
    parsers.parse(
        'booking "{key}" with a deadline of {ms:d} ms is sent through entry {n:d}'
    )
)
def _short(world, key, ms, n):
    headers = {"X-Merlinnotch-Deadline-Ms": str(ms)}
    world.answers.append(world.book(n, key, **headers))


@given("the plain services are gone")
def _gone(world):
    for name in world.stack.services:
        world.stack.processes[name].kill()


@when("the plain services are back")
def _back(world):
    for name, address in world.stack.services.items():
        world.stack.processes[name].start()
        wait_for(lambda a=address: answers(a), f"{name} up")


@then("the booking was refused as not run")
def _not_run(world):
    answer = world.answers[-1]
    assert (answer.status, answer.outcome) == (503, "not-run")


@then(parsers.parse('booking "{key}" ends up answered when sent again'))
def _again(world, key):
    wait_for(lambda: world.book(1, key).status == 200, "the booking")
    assert world.service_runs(key) == 1


@then("each kind of bad input gets its own refusal")
def _bad_input(world):
    post = world.send_raw
    messages = '"messages": [{"role": "user", "content": "x"}]'
    good = f'{{"model": "swift", {messages}}}'
    cases = [
        (post("{"), 400, "bad_request"),
        (post("[]"), 400, "bad_request"),
        (post('{"model": 5, "messages": []}'), 400, "bad_request"),
        (post('{"model": "swift", "messages": []}'), 400, "bad_request"),
        (post(f'{{"model": "nothing", {messages}}}'), 404, "unknown_model"),
        (post(good, key="wrong"), 401, "unauthenticated"),
        (post(good, **{"X-Merlinnotch-Deadline-Ms": "0"}), 400, "bad_deadline"),
        (post(good, **{"X-Merlinnotch-Deadline-Ms": "1e9"}), 400, "bad_deadline"),
        (post(good, **{"X-Merlinnotch-Non-Idempotent": "x"}), 400, "bad_request"),
        (post(good, **{"Idempotency-Key": "a b"}), 400, "bad_request"),
        (post("x" * (5 << 20)), 413, "body_too_large"),
        (post(good, path="/v1/nothing"), 404, "unknown_path"),
        (post(good, path="/services/nothing/x"), 404, "unknown_path"),
    ]
    for number, (answer, status, kind) in enumerate(cases):
        assert (answer.status, answer.kind) == (status, kind), number
        assert answer.outcome == "not-run"
        assert json.loads(answer.body)["error"]["code"] == kind
    assert world.entry(0).process.is_running

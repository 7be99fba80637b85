"""Steps of the scenarios about leaving."""

import itertools
import threading
import time

from pytest_bdd import given, parsers, scenarios, then, when

from standins import http
from standins.stack import wait_for

scenarios("leaving.feature")

CALLERS = 4
TRIES = 200


@given(parsers.parse('engine "{name}" says that it is leaving'))
def _leaving(world, name):
    world.chat(0, "swift")
    world.stack.set_switches(world.stack.engines[name], leaving=True)


@when("the entries have heard of it")
def _heard(world):
    for entry in range(4):
        wait_for(lambda e=entry: world.knows_leaving(e, "engine-0"), f"entry {entry}")
    world.notes["state"] = http.get(world.stack.engines["engine-0"], "/standin/state")


@then(parsers.parse('"{name}" got no new work since'))
def _no_work(world, name):
    state = http.get(world.stack.engines[name], "/standin/state")
    assert state == world.notes["state"]


@given(parsers.parse("a slow stream through entry {n:d}"))
def _slow_stream(world, n):
    for name in world.stack.engines:
        world.set_engine(name, token_ms=100)
    world.later(world.chat, n, "swift", body={"stream": True})
    wait_for(lambda: len(world.engine_runs()) == 1, "the stream runs")


@when(parsers.parse("entry {n:d} is asked to leave"))
def _ask_to_leave(world, n):
    process = world.entry(n).process
    thread = threading.Thread(
        target=lambda: world.notes.update(code=process.terminate(30))
    )
    thread.start()
    world.notes["thread"] = thread


@when(parsers.parse("a question is asked of entry {n:d} while it leaves"))
def _ask_leaving(world, n):
    world.answers.append(world.chat(n, "swift"))
    world.answers += world.gather()
    world.notes["thread"].join()


@then(parsers.parse("entry {n:d} ended with code 0"))
def _ended(world, n):
    assert world.notes["code"] == 0
    streamed = next(a for a in world.answers if b"data: " in a.body)
    assert streamed.body.endswith(b"data: [DONE]\n\n")


@given("callers that retry keep sending bookings and questions")
def _callers(world):
    world.notes["stop"] = threading.Event()
    world.notes["asked"] = []
    numbers = itertools.count()

    def call():
        while not world.notes["stop"].is_set():
            key = f"load-{next(numbers)}"
            send = world.book if int(key[5:]) % 2 else ask
            world.notes["asked"].append((key, send == world.book))
            retry(key, send)

    def ask(entry, key):
        return world.chat(entry, "swift", key, headers={"Idempotency-Key": key})

    def retry(key, send):
        for number in range(TRIES):
            answer = send((int(key[5:]) + number) % 4, key)
            if answer.status == 200:
                return
            time.sleep(0.05)
        raise AssertionError(f"{key} was never answered: {answer}")

    for _ in range(CALLERS):
        world.later(call)


@when("every entry is replaced in turn under load")
def _replace(world):
    world.replace_entries()


@when("the callers stop")
def _stop(world):
    world.notes["stop"].set()
    world.gather()


@then("every booking has run once")
def _once(world):
    keys = [key for key, is_booking in world.notes["asked"] if is_booking]
    assert len(keys) > 20
    assert {world.service_runs(key) for key in keys} == {1}


@then("every request ended up answered and billed once")
def _billed(world):
    count = len(world.notes["asked"])
    world.wait_for_bills(count)
    assert world.read_bills() == count


@when("every entry knows only its own zone")
def _own_zone(world):
    for entry in range(4):
        wait_for(lambda e=entry: world.live_members(e) == 2, f"entry {entry}")


@then("every entry knows all four again")
def _all_four(world):
    for entry in range(4):
        wait_for(lambda e=entry: world.live_members(e) == 4, f"entry {entry}")

"""Steps of the scenarios about shutdown."""

import contextlib
import itertools
import socket
import threading
import time

from pytest_bdd import given, parsers, scenarios, then, when

from standins import http
from standins.stack import wait_for

from .world import TEAM

scenarios("leaving.feature")

CALLER_COUNT = 4
MAX_TRIES = 200
BOOKING_FIRST_HALF = b"POST /services/marketplace/claims HTTP/1.1\r\nhost: a\r\n"
BOOKING_SECOND_HALF = (
    "authorization: Bearer {key}\r\nidempotency-key: late\r\n"
    "content-length: 4\r\n\r\nbody"
)


@given(parsers.parse('engine "{name}" reports that it is shutting down'))
def _report_shutdown(world, name):
    world.send_chat(0, "swift")
    world.stack.set_switches(world.stack.engines[name], leaving=True)


@when("all entries have received the report")
def _wait_for_reports(world):
    for entry in range(4):
        wait_for(
            lambda e=entry: world.knows_shutdown(e, "engine-0"),
            f"shutdown report on entry {entry}",
        )
    world.context["state"] = http.get(world.stack.engines["engine-0"], "/standin/state")


@then(parsers.parse('"{name}" got no new requests since'))
def _check_no_requests(world, name):
    state = http.get(world.stack.engines[name], "/standin/state")
    assert state == world.context["state"]


@given(parsers.parse('engine "{name}" says in its answers that it leaves'))
def _announce_leaving(world, name):
    world.configure_engine(name, announce_leaving=True)


@given(parsers.parse("every engine asks for a rest of {seconds:d} seconds"))
def _ask_for_rest(world, seconds):
    world.configure_engines(rest_s=seconds)


@when(parsers.parse("{count:d} chat requests are sent through entry {entry:d} in turn"))
def _send_in_turn(world, count, entry):
    world.responses += [world.send_chat(entry, "swift") for _ in range(count)]


@then(parsers.parse('"{name}" ran at most {count:d} request'))
def _check_run_count(world, name, count):
    state = http.get(world.stack.engines[name], "/standin/state")
    assert len(state["runs"]) <= count


@then(
    parsers.parse(
        "all {count:d} responses ask callers to return after {seconds:d} seconds "
        "or more"
    )
)
def _check_retry_after(world, count, seconds):
    kinds = [response.kind for response in world.responses]
    assert kinds == ["upstreams_resting"] * count
    for response in world.responses:
        assert int(response.headers["Retry-After"]) >= seconds
        assert int(response.headers["Retry-After-Ms"]) >= seconds * 1000


@then(parsers.parse("every engine refused {count:d} request"))
def _check_refused_count(world, count):
    for address in world.stack.engines.values():
        assert http.get(address, "/standin/state")["refused"] == count


@given(parsers.parse("a slow stream through entry {entry:d}"))
def _start_slow_stream(world, entry):
    for name in world.stack.engines:
        world.configure_engine(name, token_ms=100)
    world.start_request(world.send_chat, entry, "swift", body={"stream": True})
    wait_for(lambda: len(world.read_engine_runs()) == 1, "start of the stream")


@when(parsers.parse("entry {entry:d} gets SIGTERM"))
def _terminate(world, entry):
    process = world.get_entry(entry).process
    thread = threading.Thread(
        target=lambda: world.context.update(code=process.terminate(30))
    )
    thread.start()
    world.context["thread"] = thread


@when(parsers.parse("a chat request is sent to entry {entry:d} while it shuts down"))
def _send_during_shutdown(world, entry):
    world.responses.append(world.send_chat(entry, "swift"))
    world.responses += world.wait_for_requests()
    world.context["thread"].join()


@then(parsers.parse("entry {entry:d} exited with code 0"))
def _check_exit_code(world, entry):
    assert world.context["code"] == 0
    stream = next(r for r in world.responses if b"data: " in r.body)
    assert stream.body.endswith(b"data: [DONE]\n\n")


# Guards against a process that ends while the head of a request is being read.
@given(parsers.parse("half of a booking has arrived at entry {entry:d}"))
def _send_first_half(world, entry):
    sock = connect(world.get_entry(entry))
    sock.sendall(BOOKING_FIRST_HALF)
    world.context["sock"] = sock


@when(parsers.parse("entry {entry:d} refuses new connections"))
def _wait_for_refusals(world, entry):
    wait_for(lambda: is_refusing(world.get_entry(entry)), "refusal of connections")


@when("the rest of the booking arrives")
def _send_second_half(world):
    key = world.team_keys[TEAM]
    world.context["sock"].sendall(BOOKING_SECOND_HALF.format(key=key).encode())


@then(parsers.parse("the booking is answered with status {status:d}"))
def _check_booking(world, status):
    with contextlib.closing(world.context["sock"]) as sock:
        assert sock.recv(65536).startswith(f"HTTP/1.1 {status} ".encode())


@then(parsers.parse("the process of entry {entry:d} ends with code {code:d}"))
def _check_end(world, entry, code):
    world.context["thread"].join()
    assert world.context["code"] == code


def connect(entry):
    """Return a connection to the callers' address of an entry; raises OSError."""
    host, _, port = entry.caller.partition(":")
    return socket.create_connection((host, int(port)), timeout=10.0)


def is_refusing(entry):
    """Return whether an entry refuses new connections of callers."""
    try:
        connect(entry).close()
    except ConnectionRefusedError:
        return True
    return False


@given("callers keep sending bookings and chat requests with retries")
def _start_callers(world):
    world.context["stop"] = threading.Event()
    world.context["sent"] = []
    numbers = itertools.count()

    def send_requests():
        while not world.context["stop"].is_set():
            key = f"load-{next(numbers)}"
            send = world.send_booking if int(key[5:]) % 2 else send_keyed_chat
            world.context["sent"].append((key, send == world.send_booking))
            send_until_success(key, send)

    def send_keyed_chat(entry, key):
        return world.send_chat(entry, "swift", key, headers={"Idempotency-Key": key})

    def send_until_success(key, send):
        for number in range(MAX_TRIES):
            response = send((int(key[5:]) + number) % 4, key)
            if response.status == 200:
                return
            time.sleep(0.05)
        raise AssertionError(f"{key} did not succeed; last response: {response}")

    for _ in range(CALLER_COUNT):
        world.start_request(send_requests)


@when("every entry is replaced in turn under load")
def _replace_entries(world):
    world.replace_entries()


@when("the callers stop")
def _stop_callers(world):
    world.context["stop"].set()
    world.wait_for_requests()


@then("every booking has run once")
def _check_runs(world):
    keys = [key for key, is_booking in world.context["sent"] if is_booking]
    assert len(keys) > 20
    assert {world.count_service_runs(key) for key in keys} == {1}


@then("every request succeeded and is billed once")
def _check_billed_requests(world):
    count = len(world.context["sent"])
    world.wait_for_billed_requests(count)
    assert world.count_billed_requests() == count


@when("every entry sees only the instances of its zone")
def _check_partition(world):
    for entry in range(4):
        wait_for(
            lambda e=entry: world.count_live_instances(e) == 2,
            f"2 live instances on entry {entry}",
        )


@then("every entry sees all four instances again")
def _check_recovery(world):
    for entry in range(4):
        wait_for(
            lambda e=entry: world.count_live_instances(e) == 4,
            f"4 live instances on entry {entry}",
        )

"""Attempts that an instance must not end while their upstream may still answer."""

import eventlet
import pytest

from merlinnotch._errors import ConnectFailed, ConnectRefused
from merlinnotch._http import UpstreamPool
from merlinnotch._limits import SlidingWindowRetryBudget
from standins.platform_upstream import (
    make_answer,
    make_answer_script,
    make_stream_script,
    write_stream,
)
from tests.platform_world import (
    PLAIN_PATH,
    SIZED_PATH,
    STREAM_PATH,
    Caller,
    make_routes,
    wait_until,
)

EVENT_COUNT = 4
PAUSE_S = 0.9
"""Longer than the silence after which an instance tries a new connection."""


def encode_event(number):
    return number, b"id: %d\ndata: piece %d\n\n" % (number, number)


def pause_after_first_event(request, write):
    """Script of a stream that is silent for PAUSE_S after its first event."""
    first = int(request.fields.get("last-event-id", 0)) + 1
    numbers = range(first, EVENT_COUNT + 1)

    def write_slowly(data):
        write(data)
        if b"id: 1\n" in data:
            eventlet.sleep(PAUSE_S)

    return write_stream(request, write_slowly, [encode_event(n) for n in numbers])


def fall_silent(request, write):
    """Script of a stream that is silent for good after its first event."""
    write_stream(request, write, [encode_event(1)], pause_s=3600)


def answer_late(request, write):
    """Script of a plain answer that begins after PAUSE_S."""
    eventlet.sleep(PAUSE_S)
    write(make_answer(request))
    return True


@pytest.fixture
def block_new_connections(monkeypatch):
    """Return a function that makes additional connections to upstreams fail."""

    def block(error):
        acquire = UpstreamPool.acquire

        def acquire_unless_new(
            pool, start, address, connect_timeout_s, force_new=False
        ):
            if force_new:
                raise error
            return acquire(pool, start, address, connect_timeout_s)

        monkeypatch.setattr(UpstreamPool, "acquire", acquire_unless_new)

    return block


@pytest.fixture
def limit_retries(monkeypatch):
    """Return a function that limits the retries that the budget grants."""

    def limit(count):
        granted = []

        def try_acquire(budget, now, min_remaining=0.0):
            if len(granted) + min_remaining >= count:
                return False
            granted.append(now)
            return True

        monkeypatch.setattr(SlidingWindowRetryBudget, "try_acquire", try_acquire)

    return limit


def add_engines(world, *scripts, **changes):
    """Add an engine for each script; return them."""
    return [
        world.add_upstream(f"i-{number}", script, service="engines", **changes)
        for number, script in enumerate(scripts, 1)
    ]


def send_stream(caller, upstreams):
    """Return the answer to a stream, and the number of requests at all upstreams."""
    answer = caller.send(STREAM_PATH, "POST", b"x", x_deadline_ms="4000")
    return answer, sum(len(upstream.requests) for upstream in upstreams)


def assert_whole(answer):
    assert answer.status == 200
    assert answer.is_complete
    assert answer.body.count(b"data: piece") == EVENT_COUNT


def test_stream_of_an_upstream_that_refuses_connections_is_not_interrupted(
    world, caller, block_new_connections
):
    block_new_connections(ConnectRefused("full"))
    scripts = [pause_after_first_event, pause_after_first_event]
    answer, request_count = send_stream(caller, add_engines(world, *scripts))
    assert_whole(answer)
    assert request_count == 1


def test_stream_is_not_cut_off_as_unreachable_without_retry_budget(
    world, caller, block_new_connections, limit_retries
):
    block_new_connections(ConnectFailed("timed out"))
    limit_retries(0)
    scripts = [pause_after_first_event, pause_after_first_event]
    answer, request_count = send_stream(caller, add_engines(world, *scripts))
    assert_whole(answer)
    assert request_count == 1


def test_stream_is_not_cut_off_at_the_stall_limit_without_retry_budget(
    world, caller, limit_retries, monkeypatch
):
    monkeypatch.setattr("merlinnotch._gateway.stream.MIN_STALL_S", 0.4)
    limit_retries(0)
    scripts = [pause_after_first_event, pause_after_first_event]
    answer, request_count = send_stream(caller, add_engines(world, *scripts))
    assert_whole(answer)
    assert request_count == 1


def test_stream_that_goes_on_during_the_check_is_not_interrupted(
    world, caller, monkeypatch
):
    acquire = UpstreamPool.acquire

    def time_out(pool, start, address, connect_timeout_s, force_new=False):
        if not force_new:
            return acquire(pool, start, address, connect_timeout_s)
        wait_until(lambda: len(written) == 2)
        raise ConnectFailed("timed out")

    written = []

    def go_on_during_check(request, write):
        def write_slowly(data):
            write(data)
            if b"id: 1\n" in data:
                written.append(1)
                eventlet.sleep(0.5)
            elif b"id: 2\n" in data:
                written.append(2)

        events = [encode_event(number) for number in range(1, EVENT_COUNT + 1)]
        return write_stream(request, write_slowly, events)

    monkeypatch.setattr(UpstreamPool, "acquire", time_out)
    scripts = [go_on_during_check, go_on_during_check]
    answer, request_count = send_stream(caller, add_engines(world, *scripts))
    assert_whole(answer)
    assert request_count == 1


def test_stream_is_not_cut_off_without_another_upstream(
    world, caller, block_new_connections
):
    block_new_connections(ConnectFailed("timed out"))
    answer, _ = send_stream(caller, add_engines(world, pause_after_first_event))
    assert_whole(answer)


def test_stream_is_not_cut_off_at_the_attempt_limit(
    world, caller, block_new_connections
):
    block_new_connections(ConnectFailed("timed out"))
    world.configure(routes=[route | {"attempts": 1} for route in make_routes()])
    scripts = [pause_after_first_event, pause_after_first_event]
    answer, _ = send_stream(caller, add_engines(world, *scripts))
    assert_whole(answer)


def test_stalled_stream_that_cannot_be_resumed_is_not_cut_off(
    world, caller, monkeypatch
):
    monkeypatch.setattr("merlinnotch._gateway.stream.MIN_STALL_S", 0.4)
    routes = [
        route | {"resumable": False} if route["kind"] == "streaming" else route
        for route in make_routes()
    ]
    world.configure(routes=routes)
    answer, _ = send_stream(caller, add_engines(world, pause_after_first_event))
    assert_whole(answer)


def test_request_is_not_given_up_without_retry_budget(world, caller, limit_retries):
    limit_retries(0)
    upstreams = [world.add_upstream(f"i-{n}", answer_late) for n in (1, 2)]
    assert caller.send(PLAIN_PATH).status == 200
    assert sum(len(upstream.requests) for upstream in upstreams) == 1


def test_response_is_not_discarded_for_a_larger_model_without_an_upstream(world):
    def leave_and_answer(request, write):
        address = world.upstreams["i-1"].address
        world.list_upstream("i-1", "engines", address, state="draining")
        wait_until(lambda: not process.view.list_upstreams("engines"))
        script = make_stream_script(last=EVENT_COUNT, extra=[("x-confidence", "5")])
        return script(request, write)

    add_engines(world, leave_and_answer)
    process = world.add_instance()
    fields = {"x_model": "*", "x_token_counts": "1000,400"}
    assert_whole(Caller(process).send(SIZED_PATH, "POST", b"x", **fields))


def add_closed_engine(world, process, upstream_id="i-2"):
    """Add an engine that refuses connections, and wait until it is listed."""
    script = make_stream_script(last=EVENT_COUNT)
    upstream = world.add_upstream(upstream_id, script, service="engines")
    upstream.close()
    wait_until(lambda: process.view.find_upstream(upstream_id))
    return upstream


def test_stalled_stream_is_not_cut_off_if_the_other_upstream_refuses_connections(
    world, caller, monkeypatch
):
    monkeypatch.setattr("merlinnotch._gateway.stream.MIN_STALL_S", 0.4)

    def pause_beside_closed_engine(request, write):
        add_closed_engine(world, world.instances[0])
        return pause_after_first_event(request, write)

    answer, _ = send_stream(caller, add_engines(world, pause_beside_closed_engine))
    assert_whole(answer)


def test_response_is_not_discarded_for_a_larger_model_that_refuses_connections(world):
    def refuse_further_connections(request, write):
        world.upstreams["i-1"].close()
        script = make_stream_script(last=EVENT_COUNT, extra=[("x-confidence", "5")])
        return script(request, write)

    add_engines(world, refuse_further_connections)
    process = world.add_instance()
    fields = {"x_model": "*", "x_token_counts": "1000,400"}
    assert_whole(Caller(process).send(SIZED_PATH, "POST", b"x", **fields))


def test_error_response_is_not_discarded_without_retry_budget(
    world, caller, limit_retries
):
    limit_retries(0)
    for upstream_id in ("i-1", "i-2"):
        world.add_upstream(upstream_id, make_answer_script(b"why", status=500))
    answer = caller.send(PLAIN_PATH)
    assert (answer.status, answer.body) == (500, b"why")


def test_refused_connection_does_not_use_up_the_retry_of_a_broken_stream(
    world, caller, limit_retries
):
    limit_retries(1)
    broken = make_stream_script(last=EVENT_COUNT, stop_after=2)
    add_engines(world, broken)
    process = world.add_instance()
    answers = []
    # The upstreams that refuse connections are listed after the stream has begun.
    whole = make_stream_script(last=EVENT_COUNT)

    def add_others(request, write):
        for number in range(2, 6):
            world.add_upstream(f"i-{number}", whole, service="engines").close()
        world.add_upstream("i-9", whole, service="engines")
        wait_until(lambda: len(process.view.list_upstreams("engines")) == 6)
        return broken(request, write)

    world.upstreams["i-1"].script = add_others
    answers.append(caller.send(STREAM_PATH, "POST", b"x", x_deadline_ms="4000"))
    assert_whole(answers[0])


def test_stream_that_is_stalled_and_unreachable_is_not_held_until_the_deadline(
    world, caller, block_new_connections, limit_retries, monkeypatch
):
    monkeypatch.setattr("merlinnotch._gateway.stream.MIN_STALL_S", 0.4)
    block_new_connections(ConnectFailed("timed out"))
    limit_retries(0)
    add_engines(world, fall_silent, fall_silent)
    with eventlet.Timeout(3.0):
        answer = caller.send(STREAM_PATH, "POST", b"x", x_deadline_ms="4000")
    assert not answer.is_complete


def test_stalled_stream_of_a_removed_upstream_is_not_held_until_the_deadline(
    world, caller, block_new_connections, limit_retries, monkeypatch
):
    monkeypatch.setattr("merlinnotch._gateway.stream.MIN_STALL_S", 0.4)
    block_new_connections(ConnectRefused("nothing listens"))
    limit_retries(0)
    (upstream,) = add_engines(world, fall_silent)
    answers = []
    eventlet.spawn(lambda: answers.append(send_stream(caller, [])[0]))
    wait_until(lambda: upstream.requests)
    world.store.delete("servers/i-1")
    wait_until(lambda: answers, 3.0)
    assert not answers[0].is_complete


def test_stream_of_unreachable_upstream_is_resumed_on_another(
    world, caller, block_new_connections, monkeypatch
):
    monkeypatch.setattr("merlinnotch._gateway.stream.MIN_STALL_S", 3600.0)
    block_new_connections(ConnectFailed("timed out"))

    add_engines(world, fall_silent)
    process = world.add_instance()
    answers = []
    eventlet.spawn(lambda: answers.append(send_stream(caller, [])[0]))
    wait_until(lambda: world.upstreams["i-1"].requests)
    second = world.add_upstream(
        "i-2", make_stream_script(last=EVENT_COUNT), service="engines"
    )
    wait_until(lambda: len(process.view.list_upstreams("engines")) == 2)
    wait_until(lambda: answers)
    assert_whole(answers[0])
    assert len(second.requests) == 1
    assert second.requests[0].fields.get("last-event-id") == "1"

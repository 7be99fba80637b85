"""Upstreams that answer with the right seal and id and then never stop."""

import eventlet
import pytest

from merlinnotch._gateway.stream import EVENTS_PER_TOKEN, MIN_EVENTS_LIMIT
from standins.endless import KINDS
from standins.platform_upstream import (
    make_answer_script,
    make_stream_script,
    write_stream,
)
from tests.platform_world import PLAIN_PATH, STREAM_PATH, make_routes

STREAM_KINDS = ("event", "small events")
LATE_KINDS = ("small events", "tiny chunks")
"""Responses that are not known to be endless before their deadline."""
CALLERS = 4
DEADLINE_MS = "3000"
LONG_MS = 4500


@pytest.fixture
def add_endless(world, start_endless):
    """Return a function that lists an endless upstream for the requests of its kind."""

    def add_endless(kind):
        service = "engines" if kind in STREAM_KINDS else "app"
        world.list_upstream("i-endless", service, start_endless(kind))

    return add_endless


def send(caller, kind, **fields):
    path = STREAM_PATH if kind in STREAM_KINDS else PLAIN_PATH
    fields = {"x_deadline_ms": DEADLINE_MS} | fields
    return caller.send(path, "POST", b"x", **fields)


def send_at_once(caller, kind, **fields):
    """Return the threads of some requests of *kind*."""
    return [eventlet.spawn(send, caller, kind, **fields) for _ in range(CALLERS)]


@pytest.mark.parametrize("kind", KINDS)
def test_endless_response_does_not_look_complete(world, caller, add_endless, kind):
    add_endless(kind)
    for thread in send_at_once(caller, kind):
        response = thread.wait()
        assert response.status in (502, 504) or not response.is_complete


@pytest.mark.parametrize("good_count", [1, 3])
@pytest.mark.parametrize("kind", [kind for kind in KINDS if kind not in LATE_KINDS])
def test_callers_of_an_endless_response_are_served_by_another_upstream(
    world, caller, add_endless, kind, good_count
):
    # A busy machine reads a body up to its limit in more than the usual time.
    world.configure(routes=[r | {"timeout-ms": LONG_MS} for r in make_routes()])
    add_endless(kind)
    is_stream = kind in STREAM_KINDS
    script = make_stream_script() if is_stream else make_answer_script()
    for number in range(good_count):
        world.add_upstream(f"i-{number}", script, "engines" if is_stream else "app")
    for thread in send_at_once(caller, kind, x_deadline_ms=str(LONG_MS)):
        response = thread.wait()
        assert response.status == 200
        assert response.is_complete


def test_nothing_but_interim_responses_is_a_failure_of_the_upstream(
    world, caller, add_endless
):
    add_endless("interim responses")
    # Not 504: the upstream has failed long before the deadline.
    for thread in send_at_once(caller, "interim responses"):
        assert thread.wait().status == 502


def test_other_callers_are_answered_during_an_endless_stream(
    world, caller, add_endless
):
    add_endless("small events")
    world.add_upstream("i-other")
    threads = send_at_once(caller, "small events")
    eventlet.sleep(0.2)
    assert caller.send(PLAIN_PATH).status == 200
    # A stalled instance answers only after the deadline of the streams.
    assert not any(thread.dead for thread in threads)
    for thread in threads:
        thread.wait()


TOKEN_COUNTS = "10,20"
MAX_EVENTS = MIN_EVENTS_LIMIT + EVENTS_PER_TOKEN * 20


def test_endless_stream_is_cut_off_beyond_the_tokens_that_were_asked_for(
    world, caller, add_endless
):
    add_endless("small events")
    for thread in send_at_once(caller, "small events", x_token_counts=TOKEN_COUNTS):
        response = thread.wait()
        assert response.body.count(b"data:") <= MAX_EVENTS
        assert response.status != 200 or not response.is_complete


def test_callers_of_too_many_events_are_served_by_another_upstream(
    world, caller, add_endless
):
    add_endless("small events")
    world.add_upstream("i-good", make_stream_script(), "engines")
    for thread in send_at_once(caller, "small events", x_token_counts=TOKEN_COUNTS):
        response = thread.wait()
        assert response.status == 200
        assert response.is_complete


def make_growing_stream(count):
    """Return a script that streams *count* events, each by itself."""

    def script(request, write):
        events = [(n, b"id: %d\ndata: piece\n\n" % n) for n in range(1, count + 1)]
        return write_stream(request, write, events, pause_s=0.001)

    return script


def test_nothing_is_appended_to_a_stream_of_too_many_events(world, caller):
    for upstream_id in ("i-1", "i-2"):
        world.add_upstream(upstream_id, make_growing_stream(2 * MAX_EVENTS), "engines")
    response = send(caller, "small events", x_token_counts=TOKEN_COUNTS)
    assert not response.is_complete
    assert response.body.count(b"data:") <= MAX_EVENTS
    assert sum(len(upstream.requests) for upstream in world.upstreams.values()) == 1


def test_stream_of_as_many_events_as_tokens_is_complete(world, caller):
    world.add_upstream("i-1", make_growing_stream(20), "engines")
    response = send(caller, "small events", x_token_counts=TOKEN_COUNTS)
    assert response.is_complete
    assert response.body.count(b"data:") == 20

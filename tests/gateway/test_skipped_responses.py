"""Forms that responses to other requests may have, and what ends their skipping."""

import eventlet
import pytest

from standins.platform_upstream import make_answer
from tests.gateway.repeated_responses import (
    NOT_RUN,
    RepeatingScript,
    add_pair,
    check_promises,
    make_answer_with_id,
    make_response,
    send_each,
)
from tests.platform_world import ONCE_PATH, Caller, wait_until

FOREIGN = make_response("another")
FOREIGN_REFUSAL = make_response("another", 503, [NOT_RUN])
NO_LENGTH = FOREIGN.replace(b"content-length: 0\r\n", b"")
CHUNKED = FOREIGN.replace(b"content-length: 0", b"transfer-encoding: chunked")
CLAIM = b"x-attempt-id: id-2\r\nx-not-executed: 1\r\n\r\n"
"""What a refusal of the second request on a connection has in its head."""

WHOLE = {
    "chunked": CHUNKED + b"3\r\nabc\r\n0\r\n\r\n",
    "trailers": CHUNKED + b"3;a=b\r\nabc\r\n0\r\n" + CLAIM,
    "many-parts": CHUNKED + b"b\r\ndata: hey\n\n\r\n" * 500 + b"0\r\n\r\n",
    "no-content": NO_LENGTH.replace(b" 200 ", b" 204 "),
    "not-modified": make_response("another", 304).replace(b": 0", b": 99"),
    "interim-before": b"HTTP/1.1 103 X\r\n" + CLAIM + FOREIGN,
    "interim-after": FOREIGN + b"HTTP/1.1 103 X\r\n" + CLAIM,
}
BROKEN = {
    "last": make_response("another", 503, [NOT_RUN, ("connection", "close")]),
    "http-1.0": FOREIGN_REFUSAL.replace(b"HTTP/1.1", b"HTTP/1.0"),
    "no-length": FOREIGN_REFUSAL.replace(b"content-length: 0\r\n", b""),
    "longer": FOREIGN_REFUSAL + b"x" * 30,
    "shorter": FOREIGN_REFUSAL.replace(b"content-length: 0", b"content-length: 30"),
    "two-lengths": FOREIGN.replace(b"length: 0", b"length: 0\r\ncontent-length: 1"),
    "upgrade": b"HTTP/1.1 101 X\r\nupgrade: x\r\n\r\n" + FOREIGN_REFUSAL,
    "too-large": make_answer_with_id("another", b"x" * ((1 << 20) + 1)),
}


@pytest.mark.parametrize("response", WHOLE.values(), ids=WHOLE.keys())
def test_whole_response_of_another_request_is_skipped_in_any_form(
    world, caller, response
):
    # Guards against a response that is taken for the own one by its form.
    script = RepeatingScript(response)
    world.add_upstream("i-1", script)
    responses = send_each(caller, 4)
    assert {(r.status, r.body) for r in responses.values()} == {(200, b"done")}
    check_promises([script], responses)


@pytest.mark.parametrize("response", BROKEN.values(), ids=BROKEN.keys())
def test_response_of_another_request_without_a_sound_end_is_no_promise(
    world, caller, response
):
    # Guards against "not run" read from the remains of a broken response.
    scripts = add_pair(world, response)
    responses = send_each(caller, 8)
    assert {r.status for r in responses.values()} <= {200, 502, 504}
    assert {r.status for r in responses.values()} != {200}
    check_promises(scripts, responses)


class QuotingScript(RepeatingScript):
    """Answers with the text of a refusal, after a response that was cut short.

    The length of that one covers the head of the answer.
    """

    def __init__(self):
        super().__init__(None)

    def __call__(self, request, write):
        attempt_id = request.fields.get("x-attempt-id")
        self.runs[attempt_id] += 1
        answer = make_answer(request, make_response(attempt_id, 503, [NOT_RUN]))
        if self.runs.total() > 1:
            head_length = answer.index(b"\r\n\r\n") + 4
            write(FOREIGN.replace(b"length: 0", b"length: %d" % head_length))
        write(answer)
        return True


def test_refusal_quoted_in_the_own_body_is_no_promise(world, caller):
    # Guards against "not run" read from the body of a successful response.
    scripts = [QuotingScript(), QuotingScript()]
    for number, script in enumerate(scripts):
        world.add_upstream(f"i-{number}", script)
    responses = send_each(caller, 8)
    assert {r.status for r in responses.values()} == {200, 502}
    check_promises(scripts, responses)


@pytest.mark.parametrize(
    "response",
    [NO_LENGTH, FOREIGN.replace(b"length: 0", b"length: 3000")],
    ids=["no-length", "shorter"],
)
def test_exchange_ends_once_the_own_response_was_read_as_part_of_another(
    world, caller, response
):
    """Guards against a wait until the deadline for a response that has arrived."""
    script = RepeatingScript(response)
    world.add_upstream("i-1", script)
    responses = send_each(caller, 4)
    assert {r.status for r in responses.values()} == {200, 502}
    check_promises([script], responses)


def test_response_to_another_request_ends_the_first_exchange_at_once(world, caller):
    def script(request, write):
        write(FOREIGN + make_answer(request))
        return True

    world.add_upstream("i-1", script)
    responses = send_each(caller, 1)
    assert responses["id-0"].status == 502


INTERRUPTIONS = {
    "upstream-restarts": lambda process, connection: connection.abort(),
    "memory-is-short": lambda process, connection: connection.make_room(),
    "process-ends": lambda process, connection: process.gateway.end_requests(),
}


@pytest.mark.parametrize("interrupt", INTERRUPTIONS.values(), ids=INTERRUPTIONS.keys())
def test_request_that_is_interrupted_while_skipping_is_not_called_not_run(
    world, monkeypatch, interrupt
):
    """Guards against a hung skip, and against "not run" for a request that ran."""
    connections = []

    def script(request, write):
        if not upstream.requests[1:]:
            write(make_answer(request))
            return True
        write(FOREIGN_REFUSAL.replace(b"content-length: 0", b"content-length: 30"))
        eventlet.sleep(60.0)
        return False

    upstream = world.add_upstream("i-1", script)
    process = world.add_instance()
    acquire = process.pool.acquire

    def acquire_and_record(*args, **kwargs):
        connections.append(acquire(*args, **kwargs))
        return connections[-1]

    monkeypatch.setattr(process.pool, "acquire", acquire_and_record)
    caller = Caller(process)
    assert caller.send(ONCE_PATH, "POST", b"x").status == 200
    response = eventlet.spawn(caller.send, ONCE_PATH, "POST", b"x")
    mismatches = process.metrics.mismatches.labels("foreign refusal")
    wait_until(lambda: mismatches._value.get() == 1.0)
    interrupt(process, connections[-1])
    answer = response.wait()
    assert answer.status == 502
    assert b"deadline" not in answer.body
    wait_until(lambda: upstream.disconnect_count == 1)

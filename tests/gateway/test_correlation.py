"""Responses that arrive where the response to another request is expected."""

import logging

import eventlet
import pytest

from merlinnotch._entry.clock import read_clock
from merlinnotch._gateway.correlation import MAX_SKIPPED_RESPONSES
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
from tests.platform_world import ONCE_PATH, PLAIN_PATH


@pytest.mark.parametrize(
    ("response", "reason"),
    [
        (make_response("another", 503, [NOT_RUN]), "foreign refusal"),
        (make_response("another"), "foreign response"),
        (make_response(None, 503, [NOT_RUN]), "unnamed refusal"),
        (make_response(None), "unnamed response"),
    ],
)
def test_response_to_another_request_is_logged_and_counted(
    world, caller, caplog, response, reason
):
    caplog.set_level(logging.INFO, "merlinnotch")
    world.add_upstream("i-1", RepeatingScript(response))
    send_each(caller, 2)
    message = "response does not match the request"
    record = next(r for r in caplog.records if r.message == message)
    assert (record.reason, record.upstream, record.exchanges) == (reason, "i-1", 2)
    metrics = world.instances[0].metrics
    name = "merlinnotch_mismatched_responses_total"
    assert metrics.registry.get_sample_value(name, {"reason": reason}) == 1.0


@pytest.mark.parametrize(
    "response",
    [make_response("another", 503, [NOT_RUN]), make_response("another", 421)],
    ids=["shed", "misdirected"],
)
def test_refusal_of_another_request_does_not_make_a_request_run_twice(
    world, caller, response
):
    # Guards against a late refusal that counts for the next request of its link.
    scripts = add_pair(world, response)
    check_promises(scripts, send_each(caller, 8))


def test_load_in_a_response_to_another_request_is_not_believed(world, caller):
    # Guards against a late response that misstates how busy an upstream is.
    load = ("x-server-load", "7,9,8")
    world.add_upstream("i-1", RepeatingScript(make_response("another", extra=[load])))
    send_each(caller, 2)
    instance = world.instances[0]
    upstream = instance.view.find_upstream("i-1")
    assert instance._loads.get(upstream).waiting != 9


@pytest.mark.parametrize(
    "response",
    [
        make_response(None, 503, [NOT_RUN]),
        make_response(None, 421),
        make_response(None, 400, [NOT_RUN]),
    ],
    ids=["shed", "misdirected", "rejected"],
)
def test_refusal_without_an_id_does_not_make_a_request_run_twice(
    world, caller, response
):
    # Guards against a refusal that counts for whichever request waits.
    scripts = add_pair(world, response)
    check_promises(scripts, send_each(caller, 8))


@pytest.mark.parametrize("is_own_first", [True, False])
def test_refusal_with_contradicting_ids_does_not_make_a_request_run_twice(
    world, caller, is_own_first
):
    # Guards against a refusal of which only the first id is looked at.
    def make_refusal(attempt_id):
        other = ("x-attempt-id", "another")
        own = ("x-attempt-id", attempt_id)
        ids = [own, other] if is_own_first else [other, own]
        return make_response(None, 503, [NOT_RUN, *ids])

    scripts = add_pair(world, make_refusal)
    check_promises(scripts, send_each(caller, 8))


def test_refusal_of_several_others_on_a_new_connection_is_not_believed(world, caller):
    # Guards against several ids that count as none.
    ids = [("x-attempt-id", "one"), ("x-attempt-id", "another")]

    def refuse(request, write):
        write(make_response(None, 503, [NOT_RUN, *ids]))
        return True

    world.add_upstream("i-1", refuse)
    assert caller.send(ONCE_PATH, "POST", b"x").status == 502


def test_refusal_without_an_id_on_a_new_connection_is_retried(world, caller):
    def refuse(request, write):
        write(make_response(None, 503, [NOT_RUN]))
        return True

    refusing = world.add_upstream("i-1", refuse)
    script = RepeatingScript(b"")
    world.add_upstream("i-2", script)
    responses = send_each(caller, 12)
    assert refusing.requests
    assert {response.status for response in responses.values()} == {200}
    check_promises([script], responses)


@pytest.mark.parametrize("attempt_id", ["another", None])
def test_notice_in_a_mismatched_response_is_not_believed(world, caller, attempt_id):
    leaving = ("server-leaving", "1")
    response = make_response(attempt_id, extra=[leaving])
    world.add_upstream("i-1", RepeatingScript(response))
    send_each(caller, 2)
    view = world.instances[0].view
    assert view.accepts_work(view.find_upstream("i-1"), read_clock())


REPEATED = {
    "refusal": make_response("another", 503, [NOT_RUN]),
    "response": make_response("another"),
    "refusal-without-id": make_response(None, 503, [NOT_RUN]),
    "response-without-id": make_response(None),
    "body": make_answer_with_id("another", b"x" * 200_000),
}


@pytest.mark.parametrize("response", REPEATED.values(), ids=REPEATED.keys())
@pytest.mark.parametrize("count", [1, 2, MAX_SKIPPED_RESPONSES])
def test_caller_gets_its_response_after_those_of_other_requests(
    world, caller, response, count
):
    # Guards against 502 for a request whose own response follows a late one.
    script = RepeatingScript(response, count)
    upstream = world.add_upstream("i-1", script)
    responses = send_each(caller, 4)
    assert {(r.status, r.body) for r in responses.values()} == {(200, b"done")}
    check_promises([script], responses)
    # Connections that have carried a foreign response are not used again.
    assert upstream.connection_count == 2


def test_too_many_responses_of_other_requests_end_the_attempt(world, caller):
    response = make_response("another")
    script = RepeatingScript(response, MAX_SKIPPED_RESPONSES + 1)
    world.add_upstream("i-1", script)
    responses = send_each(caller, 2)
    assert [response.status for response in responses.values()] == [200, 502]
    check_promises([script], responses)


def test_response_of_another_request_that_is_cut_off_is_not_delivered(world, caller):
    response = make_answer_with_id("another", b"theirs" * 9)[:-20]
    script = RepeatingScript(response)
    world.add_upstream("i-1", script)
    responses = send_each(caller, 2)
    assert responses["id-0"].status == 200
    assert responses["id-1"].status in (502, 504)
    assert b"theirs" not in responses["id-1"].body


def test_slow_response_of_another_request_is_skipped_across_time_limits(world, caller):
    response = make_answer_with_id("another", b"x" * 40)
    seen = []

    def script(request, write):
        seen.append(request)
        if len(seen) > 1:
            for part in (response[:20], response[20:]):
                write(part)
                eventlet.sleep(0.4)
        write(make_answer(request))
        return True

    world.add_upstream("i-1", script)
    statuses = [caller.send(PLAIN_PATH, x_attempt_id=f"id-{n}").status for n in (1, 2)]
    assert statuses == [200, 200]
    assert len(seen) == 2


def test_response_without_an_id_on_a_kept_connection_ends_at_the_deadline(
    world, caller
):
    seen = []

    def script(request, write):
        seen.append(request)
        if len(seen) > 1:
            write(make_response(None))
        else:
            write(make_answer(request))
        return True

    world.add_upstream("i-1", script)
    responses = send_each(caller, 2)
    assert [response.status for response in responses.values()] == [200, 504]
    assert b"unknown" in responses["id-1"].body
    assert len(seen) == 2

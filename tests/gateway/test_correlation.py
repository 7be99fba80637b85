"""Responses that arrive where the response to another request is expected."""

import logging

import pytest

from standins.platform_upstream import make_answer
from tests.platform_world import ONCE_PATH

REFUSED = ("x-not-executed", "1")


def make_late_script(response):
    """Return a script that sends *response* before its second answer."""
    numbers = iter(range(1, 1000))

    def script(request, write):
        if next(numbers) == 2:
            write(response)
        write(make_answer(request))
        return True

    return script


def make_response(attempt_id, is_refusal):
    """Return the bytes of a response, without an id if *attempt_id* is None."""
    lines = ["HTTP/1.1 503 X" if is_refusal else "HTTP/1.1 200 X"]
    lines.append("x-not-executed: 1" if is_refusal else "x-server-seal: s")
    if attempt_id is not None:
        lines.append(f"x-attempt-id: {attempt_id}")
    lines.append("content-length: 0")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@pytest.mark.parametrize(
    ("response", "reason"),
    [
        (make_response("another", True), "foreign refusal"),
        (make_response("another", False), "foreign response"),
        (make_response(None, True), "unnamed refusal"),
        (make_response(None, False), "unnamed response"),
    ],
)
def test_response_to_another_request_is_logged_and_counted(
    world, caller, caplog, response, reason
):
    caplog.set_level(logging.INFO, "merlinnotch")
    world.add_upstream("i-1", make_late_script(response))
    for _ in range(2):
        caller.send(ONCE_PATH, "POST", b"x")
    message = "response does not match the request"
    record = next(r for r in caplog.records if r.message == message)
    assert (record.reason, record.upstream, record.exchanges) == (reason, "i-1", 2)
    metrics = world.instances[0].metrics
    name = "merlinnotch_mismatched_responses_total"
    assert metrics.registry.get_sample_value(name, {"reason": reason}) == 1.0

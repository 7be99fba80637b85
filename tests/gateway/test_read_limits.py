"""What the log says of an attempt that the instance ended, and of a missing retry."""

import logging

import eventlet
import pytest

from standins.platform_upstream import hang, write_stream
from tests.platform_world import ONCE_PATH, PLAIN_PATH, STREAM_PATH, wait_until


def stall(request, write):
    write_stream(request, write, [(1, b"id: 1\ndata: x\n\n")], pause_s=3600)


def find_records(caplog, message):
    return [r for r in caplog.records if r.getMessage() == message]


@pytest.fixture
def log(caplog):
    caplog.set_level(logging.INFO, "merlinnotch")
    return caplog


def test_log_names_the_stall_limit(world, caller, log, monkeypatch):
    monkeypatch.setattr("merlinnotch._gateway.stream.MIN_STALL_S", 0.3)
    world.add_upstream("i-1", stall, service="engines")
    world.add_upstream("i-2", stall, service="engines")
    caller.send(STREAM_PATH, "POST", b"x", x_deadline_ms="900")
    record = find_records(log, "upstream request failed")[0]
    assert record.limit == "stall"
    assert record.last_event_ms >= 290
    assert record.begun_ms >= 290


def test_log_names_the_response_head_limit(world, caller, log):
    world.add_upstream("i-1", hang)
    world.add_upstream("i-2", hang)
    caller.send(PLAIN_PATH)
    records = find_records(log, "upstream request failed")
    assert records[0].limit == "response head"


def test_log_names_the_deadline(world, caller, log):
    world.add_upstream("i-1", hang)
    caller.send(PLAIN_PATH, x_deadline_ms="300")
    assert find_records(log, "upstream request failed")[0].limit == "deadline"


def test_log_names_the_deadline_of_a_request_that_runs_once(world, caller, log):
    world.add_upstream("i-1", hang)
    caller.send(ONCE_PATH, "POST", b"x", x_deadline_ms="300")
    assert find_records(log, "upstream request failed")[0].limit == "deadline"


def test_log_names_the_reason_without_another_attempt(world, caller, log):
    world.add_upstream("i-1", lambda request, write: False)
    caller.send(PLAIN_PATH)
    wait_until(lambda: find_records(log, "request ended"))
    assert find_records(log, "request ended")[0].reasons == ["broken", "no_upstream"]


def test_log_names_the_attempt_limit(world, caller, log):
    for number in range(4):
        world.add_upstream(f"i-{number}", lambda request, write: False)
    eventlet.sleep(0)
    caller.send(PLAIN_PATH)
    wait_until(lambda: find_records(log, "request ended"))
    reasons = find_records(log, "request ended")[0].reasons
    assert reasons == ["broken", "broken", "broken", "attempt limit"]

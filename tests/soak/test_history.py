"""Each check of the soak reports the violation that it covers."""

import dataclasses

import pytest

from soak.history import (
    LIMIT_REACTION_S,
    LIMIT_SLACK,
    LIMIT_WINDOW_S,
    MAX_REQUESTS_IN_REST,
    PROPAGATION_S,
    REST_REACTION_S,
    Arrival,
    History,
    Outcome,
    Run,
    find_violations,
    make_body,
    make_failure_body,
    make_stream_body,
)

RUN = Run("a-1", "i-1", "team-a", False, 10.1)
OUTCOME = Outcome("a-1", "one", "plain", "key-1", 200, True, b"", 10.0, 10.2)


@pytest.fixture
def history():
    history = History()
    history.key_versions.append((0.0, ["key-1", "key-2"]))
    return history


def record_outcome(history, run=None, **changes):
    outcome = dataclasses.replace(OUTCOME, body=make_body("a-1"))
    history.outcomes.append(dataclasses.replace(outcome, **changes))
    if run is not None:
        history.runs.append(run)


def test_consistent_history_has_no_violations(history):
    record_outcome(history, RUN)
    record_outcome(history, kind="stream", body=make_stream_body("a-1"))
    record_outcome(history, status=500, body=make_failure_body("a-1"))
    record_outcome(history, answered_id="a-1")
    assert find_violations(history) == []


def test_bytes_that_no_request_asked_for_are_reported(history):
    record_outcome(history, RUN)
    history.surplus.append(("one", "a-1", b"HTTP/1.1 200 X"))
    assert "bytes after the answer" in find_violations(history)[0]


@pytest.mark.parametrize(
    ("changes", "runs", "message"),
    [
        (
            {"kind": "once", "status": 0, "is_complete": False},
            [RUN, RUN],
            "executed 2 times",
        ),
        (
            {"kind": "long", "status": 0, "is_complete": False},
            [RUN, RUN],
            "executed 2 times",
        ),
        *[
            ({"kind": kind, "status": status}, [RUN], "executed despite the status")
            for kind in ("plain", "once", "long", "stream")
            for status in (408, 421, 429, 503)
        ],
        (
            {"status": 503},
            [dataclasses.replace(RUN, started_at=OUTCOME.ended_at + 3.0)],
            "executed despite the status",
        ),
        ({"answered_id": "a-2"}, [RUN], "answer to a-2"),
        (
            {"answered_id": "a-2", "status": 0, "is_complete": False},
            [RUN],
            "answer to a-2",
        ),
        (
            {"status": 500, "body": make_failure_body("a-2")},
            [RUN],
            "failure of another",
        ),
        ({}, [dataclasses.replace(RUN, is_intact=False)], "body changed"),
        ({}, [RUN, dataclasses.replace(RUN, attempt_id="a-2")], "not sent by a caller"),
        ({"body": make_body("a-2")}, [RUN], "unexpected answer"),
        (
            {"kind": "stream", "body": make_stream_body("a-1")[:-20]},
            [RUN],
            "unexpected answer",
        ),
        ({}, [dataclasses.replace(RUN, team="team-b")], "wrong team"),
        ({}, [dataclasses.replace(RUN, has_credential=True)], "forwarded key"),
        ({"key": "key-9"}, [RUN], "revoked key accepted"),
        ({"status": 401}, [], "valid key rejected"),
    ],
)
def test_violation_is_reported(history, changes, runs, message):
    record_outcome(history, **changes)
    history.runs.extend(runs)
    assert any(message in line for line in find_violations(history))


def test_replaced_key_is_accepted_until_propagation_ends(history):
    history.key_versions.append((9.0, ["key-2", "key-3"]))
    record_outcome(history, RUN)
    assert find_violations(history) == []
    history.key_versions[-1] = (9.0 - PROPAGATION_S, ["key-2", "key-3"])
    assert "revoked key" in find_violations(history)[0]
    history.record_fault("one", 5.0, 7.5)
    assert find_violations(history) == []


def test_run_on_drained_upstream_is_reported(history):
    history.drained_at["i-1"] = 7.0
    record_outcome(history, RUN)
    assert "after it was drained" in find_violations(history)[0]
    history.record_fault("one", 8.0, 8.5)
    assert find_violations(history) == []


def test_answer_aborted_by_graceful_shutdown_is_reported(history):
    record_outcome(history, RUN, status=0, is_complete=False)
    history.stops.append(("one", 10.1, 11.0))
    assert "aborted by a graceful shutdown" in find_violations(history)[0]
    # Only a failure of the last upstream explains the missing answer.
    failed = dataclasses.replace(RUN, failed=True)
    history.runs.append(failed)
    assert find_violations(history) == []
    history.runs.append(RUN)
    assert "aborted by a graceful shutdown" in find_violations(history)[0]


def test_request_sent_during_a_stop_and_passed_on_without_an_answer_is_reported(
    history,
):
    history.stops.append(("one", 9.5, 11.0))
    record_outcome(history, status=0, is_complete=False)
    assert find_violations(history) == []
    history.runs.append(RUN)
    assert "aborted by a graceful shutdown" in find_violations(history)[0]


def test_unexpected_process_exit_is_reported(history):
    history.unexpected_exits.append("one")
    assert find_violations(history) == ["exited unexpectedly: one"]


LEAVING = Arrival("a-1", "i-1", 10.1, is_leaving=True)
REST = Arrival("a-1", "i-1", 10.1, rest_s=3.0)


def record_arrival(history, attempt_id, at, upstream="i-1", instance="one"):
    """Record a request that *instance* sends to *upstream* later on."""
    history.arrivals.append(Arrival(attempt_id, upstream, at))
    record_outcome(
        history, attempt_id=attempt_id, instance=instance, body=make_body(attempt_id)
    )


def record_leaving(history):
    record_outcome(history)
    history.arrivals.append(LEAVING)
    return OUTCOME.ended_at


def record_rest(history):
    record_outcome(history)
    history.arrivals.append(REST)
    return REST.at + REST_REACTION_S


def test_request_after_passed_on_leaving_notice_is_reported(history):
    passed_on_at = record_leaving(history)
    record_arrival(history, "a-2", passed_on_at + PROPAGATION_S - 0.1)
    record_arrival(history, "a-3", passed_on_at + 9.0, upstream="i-2")
    record_arrival(history, "a-4", passed_on_at + 9.0, instance="two")
    assert find_violations(history) == []
    record_arrival(history, "a-5", passed_on_at + PROPAGATION_S + 0.1)
    assert find_violations(history) == ["sent to i-1 after its notice: a-5"]


@pytest.mark.parametrize("name", ["one", "i-1"])
def test_interruption_excuses_only_notices_before_it(history, name):
    passed_on_at = record_leaving(history)
    history.record_interruption(name, passed_on_at + 1.0, passed_on_at + 2.0)
    record_arrival(history, "a-2", passed_on_at + 9.0)
    assert find_violations(history) == []
    history.arrivals.append(dataclasses.replace(LEAVING, attempt_id="a-3"))
    record_outcome(
        history,
        attempt_id="a-3",
        body=make_body("a-3"),
        ended_at=passed_on_at + 3.0,
    )
    assert find_violations(history) == ["sent to i-1 after its notice: a-2"]


def test_relayed_request_counts_for_the_instance_that_sent_it(history):
    passed_on_at = record_leaving(history)
    record_arrival(history, "a-2", passed_on_at + 9.0)
    history.senders["a-2", "i-1"] = {"one", "two"}
    assert find_violations(history) == ["sent to i-1 after its notice: a-2"]
    history.senders["a-2", "i-1"] = {"two"}
    assert find_violations(history) == []
    record_arrival(history, "a-3", passed_on_at + 9.0, instance="three")
    history.senders["a-3", "i-1"] = {"one"}
    assert find_violations(history) == ["sent to i-1 after its notice: a-3"]


def test_leaving_notice_that_another_upstream_replaced_is_not_passed_on(history):
    passed_on_at = record_leaving(history)
    history.arrivals.append(Arrival("a-1", "i-2", 10.15))
    record_arrival(history, "a-2", passed_on_at + 9.0)
    assert find_violations(history) == []


def test_more_requests_in_a_rest_than_allowed_are_reported(history):
    from_at = record_rest(history)
    for number in range(MAX_REQUESTS_IN_REST):
        record_arrival(history, f"b-{number}", from_at - 0.1)
        record_arrival(history, f"c-{number}", from_at + 0.1)
        record_arrival(history, f"d-{number}", REST.at + REST.rest_s + 0.1)
        record_arrival(history, f"e-{number}", from_at + 0.1, upstream="i-2")
        record_arrival(history, f"f-{number}", from_at + 0.1, instance="two")
    assert find_violations(history) == []
    record_arrival(history, "g", from_at + 0.2)
    assert find_violations(history) == ["sent to i-1 in its rest by one: c-0 c-1 g"]


@pytest.mark.parametrize("name", ["one", "i-1"])
def test_interruption_excuses_requests_in_a_rest(history, name):
    from_at = record_rest(history)
    for number in range(MAX_REQUESTS_IN_REST + 1):
        record_arrival(history, f"b-{number}", from_at + 0.2)
    history.record_interruption(name, REST.at, from_at + 0.1)
    assert find_violations(history) == []


LIMITED = Arrival("a-1", "i-1", 10.1, limit_per_s=1.0)
ALLOWED = int(1.5 * LIMIT_WINDOW_S + LIMIT_SLACK)


def record_limit(history, ends_at=None):
    """Record that i-1 names a limit, and when instance one has to keep it."""
    history.limits["i-1"].append((9.0, 1.0))
    if ends_at is not None:
        history.limits["i-1"].append((ends_at, None))
    history.arrivals.append(LIMITED)
    record_outcome(history)
    return OUTCOME.ended_at + LIMIT_REACTION_S + 0.1


def record_arrivals(history, count, at, **changes):
    for number in range(count):
        record_arrival(history, f"{at}-{changes}-{number}", at, **changes)


def test_more_requests_than_a_limit_allows_are_reported(history):
    from_at = record_limit(history)
    record_arrivals(history, ALLOWED, from_at)
    record_arrivals(history, 1, from_at + LIMIT_WINDOW_S + 0.1)
    record_arrivals(history, ALLOWED + 1, from_at, upstream="i-2")
    record_arrivals(history, ALLOWED + 1, from_at, instance="two")
    assert find_violations(history) == []
    record_arrivals(history, 1, from_at + 1.0)
    assert find_violations(history) == [
        f"{ALLOWED + 1} requests at i-1, {ALLOWED:.1f} allowed"
    ]


def test_ended_limit_allows_all_requests(history):
    from_at = record_limit(history, ends_at=OUTCOME.ended_at + 1.0)
    record_arrivals(history, ALLOWED + 1, from_at)
    assert find_violations(history) == []


@pytest.mark.parametrize("name", ["one", "i-1"])
def test_interruption_excuses_requests_above_a_limit(history, name):
    from_at = record_limit(history)
    history.record_interruption(name, OUTCOME.ended_at, from_at - 0.2)
    record_arrivals(history, ALLOWED + 1, from_at)
    assert find_violations(history) == []


def test_lowered_limit_is_checked_from_its_lowering_on(history):
    history.limits["i-1"].append((0.0, 8.0))
    from_at = record_limit(history)
    record_arrivals(history, ALLOWED, from_at + 1.0)
    assert find_violations(history) == []
    record_arrivals(history, 1, from_at + 1.0, instance="one")
    assert find_violations(history) != []

"""Each check of the soak finds what it is for."""

import dataclasses

import pytest

from soak.evidence import (
    IN_FORCE_S,
    Evidence,
    Outcome,
    Run,
    find_faults,
    make_body,
    make_stream_body,
)

RUN = Run("a-1", "i-1", "team-a", False, 10.1)
OUTCOME = Outcome("a-1", "one", "plain", "key-1", 200, True, b"", 10.0, 10.2)


@pytest.fixture
def evidence():
    evidence = Evidence()
    evidence.keys.append((0.0, ["key-1", "key-2"]))
    return evidence


def note(evidence, run=None, **changes):
    outcome = dataclasses.replace(OUTCOME, body=make_body("a-1"))
    evidence.outcomes.append(dataclasses.replace(outcome, **changes))
    if run is not None:
        evidence.runs.append(run)


def test_a_sound_soak_has_no_faults(evidence):
    note(evidence, RUN)
    note(evidence, kind="stream", body=make_stream_body("a-1"))
    assert find_faults(evidence) == []


@pytest.mark.parametrize(
    ("changes", "runs", "fault"),
    [
        ({"kind": "once", "status": 0, "is_whole": False}, [RUN, RUN], "ran 2 times"),
        ({"status": 503}, [RUN], "said not to have run"),
        ({"body": make_body("a-2")}, [RUN], "wrong answer"),
        (
            {"kind": "stream", "body": make_stream_body("a-1")[:-20]},
            [RUN],
            "wrong answer",
        ),
        ({}, [dataclasses.replace(RUN, team="team-b")], "wrong team"),
        ({}, [dataclasses.replace(RUN, saw_key=True)], "key passed on"),
        ({"key": "key-9"}, [RUN], "key taken away still serves"),
        ({"status": 401}, [], "good key refused"),
    ],
)
def test_a_broken_promise_is_found(evidence, changes, runs, fault):
    note(evidence, **changes)
    evidence.runs.extend(runs)
    assert any(fault in line for line in find_faults(evidence))


def test_a_change_of_keys_has_time_to_be_in_force(evidence):
    evidence.keys.append((9.0, ["key-2", "key-3"]))
    note(evidence, RUN)
    assert find_faults(evidence) == []
    evidence.keys[-1] = (9.0 - IN_FORCE_S, ["key-2", "key-3"])
    assert "key taken away" in find_faults(evidence)[0]
    evidence.disturb("one", 5.0, 7.5)
    assert find_faults(evidence) == []


def test_work_for_an_upstream_that_drained_is_found(evidence):
    evidence.drained["i-1"] = 7.0
    note(evidence, RUN)
    assert "after it drained" in find_faults(evidence)[0]
    evidence.disturb("one", 8.0, 8.5)
    assert find_faults(evidence) == []


def test_an_answer_cut_by_a_stop_is_found(evidence):
    note(evidence, RUN, status=0, is_whole=False)
    evidence.stopped.append(("one", 10.1, 11.0))
    assert "cut by a stop" in find_faults(evidence)[0]
    # The upstream's breaking off is no fault of the stop, an earlier one's is.
    spoiled = dataclasses.replace(RUN, spoiled=True)
    evidence.runs.append(spoiled)
    assert find_faults(evidence) == []
    evidence.runs.append(RUN)
    assert "cut by a stop" in find_faults(evidence)[0]


def test_a_process_that_ends_by_itself_is_found(evidence):
    evidence.exits.append("one")
    assert find_faults(evidence) == ["ended by itself: one"]

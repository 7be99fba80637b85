"""Decoding and encoding of header fields."""

import pytest

from merlinnotch._errors import MalformedMessage
from merlinnotch._http import Fields
from merlinnotch.platform import (
    decode_request,
    decode_response,
    encode_request,
    was_not_executed,
)
from merlinnotch.platform.headers import MAX_PROMPT_PARTS


def test_request_fields_are_decoded():
    call = decode_request(
        Fields(
            [
                ("x-attempt-id", "a1"),
                ("x-credential", "k"),
                ("x-deadline-ms", "2500"),
                ("x-model", "*"),
                ("x-token-counts", "1460,80"),
                ("x-prompt-prefix", "5c1e:800,91bd:410"),
                ("last-event-id", "12"),
            ]
        )
    )
    assert call.deadline_s == 2.5
    assert call.model is None
    assert (call.tokens_in, call.tokens_out) == (1460, 80)
    assert [(part.id, part.tokens) for part in call.prompt] == [
        ("5c1e", 800),
        ("91bd", 410),
    ]
    assert call.last_event == 12


def test_prompt_parts_without_a_decimal_count_are_ignored():
    pairs = [("x-attempt-id", "a"), ("x-prompt-prefix", "5c1e:\u00b2,91bd:410")]
    assert [part.id for part in decode_request(Fields(pairs)).prompt] == ["91bd"]


def decode_prompt(ids):
    text = ",".join(f"{part_id}:2" for part_id in ids)
    return decode_request(
        Fields([("x-attempt-id", "a"), ("x-prompt-prefix", text)])
    ).prompt


def test_middle_of_a_prompt_with_many_parts_is_merged():
    # Each part of a request in progress took many times its bytes in the head.
    ids = [f"{n:x}" for n in range(2300)]
    prompt = decode_prompt(ids)
    kept = [part.id for part in prompt]
    assert len(prompt) <= MAX_PROMPT_PARTS
    assert (kept[:60], kept[-60:]) == (ids[:60], ids[-60:])
    assert sum(part.tokens for part in prompt) == 2 * len(ids)
    assert decode_prompt(ids) == prompt
    assert decode_prompt([*ids[:1000], "other", *ids[1001:]]) != prompt


@pytest.mark.parametrize("count", [1, MAX_PROMPT_PARTS])
def test_parts_of_usual_prompts_are_not_merged(count):
    ids = [f"{n:x}" for n in range(count)]
    assert [part.id for part in decode_prompt(ids)] == ids


@pytest.mark.parametrize("digits", [10, 400, 5000])
def test_prompt_parts_with_a_count_out_of_range_are_ignored(digits):
    # Their requests ended with 500.
    pairs = [
        ("x-attempt-id", "a"),
        ("x-prompt-prefix", f"5c1e:{'9' * digits},91bd:410"),
    ]
    assert [part.id for part in decode_request(Fields(pairs)).prompt] == ["91bd"]


@pytest.mark.parametrize(
    "pairs",
    [
        [],
        [("x-attempt-id", "a"), ("x-deadline-ms", "soon")],
        [("x-attempt-id", "a"), ("x-token-counts", "a,b")],
        [("x-attempt-id", "a"), ("last-event-id", "x")],
        [("x-attempt-id", "a"), ("last-event-id", "nan")],
        [("x-attempt-id", "a"), ("last-event-id", "inf")],
        [("x-attempt-id", "a"), ("last-event-id", "1e300")],
        [("x-attempt-id", "a"), ("x-deadline-ms", "nan")],
        [("x-attempt-id", "a"), ("x-deadline-ms", "1e400")],
        [("x-attempt-id", "a"), ("x-token-counts", "1460,-80")],
        [("x-attempt-id", "a"), ("x-token-counts", "9" * 400 + ",80")],
    ],
)
def test_invalid_request_fields_are_malformed(pairs):
    with pytest.raises(MalformedMessage):
        decode_request(Fields(pairs))


def test_callers_fields_are_replaced_for_upstreams():
    pairs = [("x-model", "*"), ("last-event-id", "3"), ("x-own", "1")]
    sent = encode_request(pairs, "i-1", "team", 1.5, model="m", last_event=8)
    assert dict(sent) == {
        "x-own": "1",
        "x-deadline-ms": "1500",
        "x-expect-instance": "i-1",
        "x-tenant": "team",
        "x-model": "m",
        "last-event-id": "8",
    }
    assert len(sent) == 6


def test_request_is_not_run_only_if_the_upstream_reports_it():
    assert was_not_executed(503, Fields([("x-not-executed", "1")]))
    assert was_not_executed(421, Fields())
    assert not was_not_executed(503, Fields())
    assert not was_not_executed(500, Fields())


def test_response_fields_are_decoded():
    fields = Fields(
        [("x-server-load", "3,1,8"), ("x-confidence", "42"), ("x-server-seal", "s")]
    )
    response = decode_response(fields)
    assert (response.running, response.waiting, response.slots) == (3, 1, 8)
    assert response.confidence == 42.0
    assert response.sealed
    assert decode_response(Fields()).running is None


@pytest.mark.parametrize(
    ("text", "pace"),
    [("3,1,8", None), ("3,1,8,100", 1.0), ("3,1,8,150", 1.5), ("3,1,8,150,7", 1.5)],
)
def test_a_load_may_have_further_figures(text, pace):
    """Guards against reading a busy upstream's load as no load."""
    response = decode_response(Fields([("x-server-load", text)]))
    assert (response.running, response.waiting, response.slots) == (3, 1, 8)
    assert response.pace == pace


@pytest.mark.parametrize(
    "text",
    [
        "",
        "3",
        "3,1",
        "a,b,c",
        "-1,0,8",
        "3,-1,8",
        "3,1,0",
        "3,1,8,x",
        "3,1,8,0",
        "1e3,0,8",
    ],
)
def test_an_unreadable_load_counts_as_not_reported(text):
    """Guards against a load of zero, and against the loss of a good response."""
    response = decode_response(
        Fields([("x-server-load", text), ("x-server-seal", "s")])
    )
    assert (response.running, response.waiting, response.slots) == (None, None, None)
    assert response.pace is None
    assert response.sealed

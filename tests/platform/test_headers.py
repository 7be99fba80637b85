"""Header fields of calls and answers."""

import pytest

from merlinnotch._errors import MalformedMessage
from merlinnotch._http import Fields
from merlinnotch.platform import decode_call, encode_call, is_not_run, read_answer


def test_a_call_is_decoded():
    call = decode_call(
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


@pytest.mark.parametrize(
    "pairs",
    [
        [],
        [("x-attempt-id", "a"), ("x-deadline-ms", "soon")],
        [("x-attempt-id", "a"), ("x-token-counts", "a,b")],
        [("x-attempt-id", "a"), ("last-event-id", "x")],
    ],
)
def test_a_call_that_can_not_be_read_is_malformed(pairs):
    with pytest.raises(MalformedMessage):
        decode_call(Fields(pairs))


def test_what_an_upstream_gets_replaces_what_the_caller_sent():
    pairs = [("x-model", "*"), ("last-event-id", "3"), ("x-own", "1")]
    sent = encode_call(pairs, "i-1", "team", 1.5, model="m", last_event=8)
    assert dict(sent) == {
        "x-own": "1",
        "x-deadline-ms": "1500",
        "x-expect-instance": "i-1",
        "x-tenant": "team",
        "x-model": "m",
        "last-event-id": "8",
    }
    assert len(sent) == 6


def test_only_its_own_word_says_that_an_upstream_did_not_run_it():
    assert is_not_run(503, Fields([("x-not-executed", "1")]))
    assert is_not_run(421, Fields())
    assert not is_not_run(503, Fields())
    assert not is_not_run(500, Fields())


def test_an_answers_note_is_read():
    fields = Fields(
        [("x-server-load", "3,1,8"), ("x-confidence", "42"), ("x-server-seal", "s")]
    )
    note = read_answer(fields)
    assert (note.running, note.waiting, note.slots) == (3, 1, 8)
    assert note.confidence == 42.0
    assert note.sealed
    assert read_answer(Fields()).running is None

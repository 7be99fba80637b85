"""Header fields of relayed requests."""

import base64

import msgspec
import pytest

from merlinnotch._errors import ErrorKind, MalformedMessage, Outcome
from merlinnotch._relay import (
    RelayedRefusal,
    RelayMark,
    decode_mark,
    decode_refusal,
    encode_mark,
    encode_refusal,
)


def test_mark_is_decoded_as_it_was_encoded():
    mark = RelayMark(
        origin="one",
        configuration_version=7,
        team="Füchse",
        service="app",
        remaining_s=1.5,
        model="small",
        last_event_id=3,
        send_count=2,
    )
    value = encode_mark(mark)
    assert value.isascii()
    assert decode_mark(value) == mark


def test_refusal_is_decoded_as_it_was_encoded():
    refusal = RelayedRefusal(
        kind=ErrorKind.UPSTREAMS_LIMITED,
        outcome=Outcome.NOT_RUN,
        detail="2 upstreams",
        retry_after_s=0.4,
        is_elsewhere_possible=True,
    )
    assert decode_refusal(encode_refusal(refusal)) == refusal


def test_refusal_of_an_earlier_release_names_no_request():
    fields = {"kind": "no_upstream", "outcome": "not-run"}
    value = base64.urlsafe_b64encode(msgspec.msgpack.encode(fields)).decode()
    assert decode_refusal(value).attempt_id is None


@pytest.mark.parametrize("value", ["", "x", "AAAA", "gA==", "ä"])
def test_invalid_mark_is_rejected(value):
    with pytest.raises(MalformedMessage):
        decode_mark(value)

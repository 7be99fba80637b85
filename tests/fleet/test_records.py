"""Entries of keys that instances write."""

import math

import cbor2
import pytest

from merlinnotch._errors import ConfigurationInvalid
from merlinnotch._fleet.records import PEER_PREFIX, STAGE_PREFIX, decode_record


@pytest.mark.parametrize("prefix", [PEER_PREFIX, STAGE_PREFIX])
@pytest.mark.parametrize("value", [b"", b"\x83\x01", b"\xff", b"{}", b"\x80"])
def test_malformed_record_is_invalid(prefix, value):
    with pytest.raises(ConfigurationInvalid):
        decode_record(f"{prefix}one", value, 7)


@pytest.mark.parametrize(
    "fields",
    [
        [[1], [2]],
        [{}, {}],
        [1, 2],
        [None, None],
        ["zone-a"],
        ["zone-a", "x" * 60_000],
    ],
    ids=lambda fields: str(fields)[:40],
)
def test_peer_whose_fields_are_of_another_type_is_invalid(fields):
    # Its zone was no key of a dict, and later changes of the store were lost.
    with pytest.raises(ConfigurationInvalid):
        decode_record(f"{PEER_PREFIX}one", cbor2.dumps(fields), 7)


@pytest.mark.parametrize(
    "fields",
    [
        ["a", "b", "c", "d", "e"],
        [None, None, None, None],
        [1, 2, math.nan, 4.0],
        [1, 2, 0.5, math.inf],
        [1, 2, 1.5, 4.0],
        [1, -2, 0.5, 4.0],
        [1, 2, 0.5, 4.0, [1]],
        [1, 10**400, 0.5, 4.0],
        [1, 2, 0.5],
    ],
    ids=lambda fields: str(fields)[:40],
)
def test_stage_whose_fields_are_of_another_type_is_invalid(fields):
    with pytest.raises(ConfigurationInvalid):
        decode_record(f"{STAGE_PREFIX}one", cbor2.dumps(fields), 7)


@pytest.mark.parametrize("rest", [[], [3], [3, 9], [3, 9, "of a later release"]])
def test_records_of_other_releases_are_decoded(rest):
    fields = [1 << 70, 2, 1, 13, *rest]
    stage = decode_record(f"{STAGE_PREFIX}app", cbor2.dumps(fields), 7)
    assert (stage.service, stage.order_index, stage.share) == ("app", 1 << 70, 1.0)
    assert [stage.canaries, stage.bad_answers][: len(rest)] == rest[:2]

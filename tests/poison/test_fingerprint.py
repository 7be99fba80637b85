"""Fingerprints of repeated and of different requests."""

import pytest

from merlinnotch._poison import fingerprint_parts, fingerprint_request
from merlinnotch._poison.fingerprint import MAX_PARTS

REQUEST = {
    "method": "POST",
    "host": "host.example",
    "target": "/stream/a",
    "team": "team-a",
    "body": b"body",
}


def test_repeats_have_the_same_fingerprint():
    assert fingerprint_request(**REQUEST) == fingerprint_request(**REQUEST)


def test_the_query_is_ignored():
    with_query = REQUEST | {"target": "/stream/a?page=2"}
    assert fingerprint_request(**REQUEST) == fingerprint_request(**with_query)


@pytest.mark.parametrize(
    "change",
    [
        {"method": "GET"},
        {"host": "other.example"},
        {"target": "/stream/b"},
        {"team": "team-b"},
        {"team": None},
        {"body": b"other"},
        {"body": b""},
        {"team": "team", "body": b"-a\0body"},
    ],
)
def test_different_requests_have_different_fingerprints(change):
    assert fingerprint_request(**REQUEST) != fingerprint_request(**(REQUEST | change))


def test_part_of_different_prompts_has_one_fingerprint():
    first, second = fingerprint_parts(["a1", "b2", "own-1"])
    assert fingerprint_parts(["B2", "c3", "own-2"])[0] == second
    assert first != second


def test_last_part_has_no_fingerprint():
    assert fingerprint_parts(["own"]) == ()
    assert fingerprint_parts([]) == ()


def test_long_prompt_has_few_fingerprints_from_both_ends():
    ids = [f"{number:x}" for number in range(200)]
    digests = fingerprint_parts(ids)
    assert len(digests) == MAX_PARTS
    assert digests[0] == fingerprint_parts([ids[0], ""])[0]
    assert digests[-1] == fingerprint_parts([ids[198], ""])[0]

"""Responses of upstreams that have no end."""

import itertools
import time

import eventlet
import pytest

from merlinnotch._upstreams.client import MAX_EVENT_BYTES, _split_events
from merlinnotch._upstreams.failure import AttemptFailed, FailureReason
from merlinnotch._upstreams.parts import (
    MAX_PARTS_PER_TURN,
    MAX_RESPONSE_BYTES,
    limit_parts,
)

PART = bytes(65536)


def test_parts_within_the_limits_are_all_taken():
    parts = [PART] * 10
    assert list(limit_parts(parts, time.monotonic() + 60.0)) == parts


def test_endless_response_is_broken_off():
    taken = 0
    with pytest.raises(AttemptFailed) as failure:
        for part in limit_parts(itertools.repeat(PART), time.monotonic() + 60.0):
            taken += len(part)
    assert failure.value.reason is FailureReason.BROKEN
    assert taken == MAX_RESPONSE_BYTES


def test_response_that_goes_on_after_its_deadline_is_given_up():
    with pytest.raises(AttemptFailed) as failure:
        list(limit_parts(itertools.repeat(b"x"), time.monotonic() - 60.0))
    assert failure.value.reason is FailureReason.SILENT


def test_other_tasks_run_during_a_response():
    other = eventlet.spawn(lambda: None)
    parts = limit_parts([b"x"] * MAX_PARTS_PER_TURN, time.monotonic() + 60.0)
    for _ in range(MAX_PARTS_PER_TURN - 1):
        next(parts)
    assert not other.dead
    next(parts)
    assert other.dead


def test_event_without_an_end_is_broken_off():
    with pytest.raises(AttemptFailed):
        list(_split_events([PART] * (MAX_EVENT_BYTES // len(PART) + 1)))

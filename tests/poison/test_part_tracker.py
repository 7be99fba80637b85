"""Runs that clear a prompt part of suspicion."""

import pytest

from merlinnotch._fleet import UpstreamStart
from merlinnotch._poison import BlockList, Loss, PartTracker, Run
from merlinnotch._poison.attribution import CRASH_WINDOW_S

PART = b"part"
START = UpstreamStart("i-1")


@pytest.fixture
def tracker():
    return PartTracker(BlockList())


def make_run(begun_at):
    return Run(b"request", START, (PART,), begun_at)


def test_run_that_began_after_the_first_loss_clears_a_part(tracker):
    tracker.suspect([Loss(b"lost", START, 0.1, (PART,))], 10.0)
    tracker.suspect([Loss(b"lost", START, 0.1, (PART,))], 20.0)
    assert tracker.record_survived(make_run(11.0), 21.0) == [PART]
    tracker.clear(PART)
    assert tracker.record_survived(make_run(11.0), 21.0) == []


def test_run_that_began_before_the_first_loss_clears_nothing(tracker):
    tracker.suspect([Loss(b"lost", START, 0.1, (PART,))], 10.0)
    assert tracker.record_survived(make_run(9.0), 12.0) == []


def test_run_survives_when_data_arrives_after_the_crash_window():
    run = make_run(10.0)
    assert not run.record_read(10.0)
    assert not run.record_read(10.0 + CRASH_WINDOW_S)
    assert run.record_read(10.1 + CRASH_WINDOW_S)


def test_data_that_is_read_after_a_long_gap_does_not_show_that_a_run_survived():
    # A process that was suspended reads what was sent before an upstream crashed.
    run = make_run(10.0)
    assert not run.record_read(10.0)
    assert not run.record_read(13.0)

"""Bad answers over the lives of several processes."""

import pytest

from merlinnotch._rollout import BadAnswerTotal


@pytest.fixture
def total():
    return BadAnswerTotal()


def test_answers_of_ended_processes_stay_in_the_checkpoint(total):
    total.advance(12)
    assert total.sum(0) == 12
    assert total.sum(3) == 15


def test_checkpoint_includes_what_was_reported_before(total):
    assert total.make_report(5) == 5
    total.advance(5)
    assert total.sum(7) == 7
    assert total.make_report(7) == 2


def test_reports_on_the_same_checkpoint_are_added_up(total):
    total.advance(10)
    total.record_report("one/1", 10, 2)
    total.record_report("one/1", 10, 4)
    total.record_report("one/1", 10, 3)
    total.record_report("one/2", 10, 1)
    assert total.sum(0) == 15


def test_reports_on_an_earlier_checkpoint_are_ignored(total):
    total.advance(10)
    total.record_report("one/1", 4, 6)
    assert total.sum(0) == 10


def test_later_checkpoint_is_learned_from_a_report(total):
    total.record_report("one/1", 20, 2)
    assert (total.checkpoint, total.sum(0)) == (20, 22)
    total.advance(10)
    assert total.checkpoint == 20

"""What may be concluded from counters that were heard."""

import pytest

from merlinnotch._rollout import Exposure, Hearing

OTHERS = ("a", "b", "c", "d")
SHARE = 0.15


def play(hearing, seconds, heard, rate, total=0, now=0.0):
    """Let the instances *heard* tell for *seconds*; return the time and the total."""
    until = now + seconds
    while now < until:
        now += 0.25
        total += rate * 0.25
        for name in heard:
            hearing.note(name, now)
        hearing.listen(OTHERS, total, now)
    return now, total


@pytest.fixture
def hearing():
    return Hearing(SHARE)


def test_hearing_a_minority_is_not_enough(hearing):
    now, _ = play(hearing, 10.0, OTHERS[:1], 40)
    assert not hearing.is_enough(now)


def test_hearing_half_of_the_others_is_enough_after_a_while(hearing):
    now, total = play(hearing, 1.0, OTHERS[:2], 40)
    assert not hearing.is_enough(now)
    now, _ = play(hearing, 2.0, OTHERS[:2], 40, total, now)
    assert hearing.is_enough(now)


def test_what_was_heard_before_a_cut_is_not_enough_in_it(hearing):
    now, total = play(hearing, 5.0, OTHERS, 40)
    now, _ = play(hearing, 3.0, OTHERS[:1], 10, total, now)
    assert not hearing.is_enough(now)


def test_who_heard_all_from_the_beginning_estimates_what_it_counted(hearing):
    now, total = play(hearing, 12.0, OTHERS, 40)
    seen = hearing.estimate(Exposure(20, total), now, OTHERS, now)
    assert seen.total == pytest.approx(total, rel=0.02)
    assert seen.new == pytest.approx(20, abs=3)


def test_requests_counted_by_instances_that_are_gone_are_estimated(hearing):
    # Ten seconds of 40 a second went by before it started.
    now, total = play(hearing, 4.0, OTHERS, 40, now=10.0)
    seen = hearing.estimate(Exposure(5, total), now, OTHERS, now)
    assert seen.total == pytest.approx(560, rel=0.05)
    assert seen.new > 5 + SHARE * 350


def test_instances_that_are_not_heard_count_like_the_others(hearing):
    now, total = play(hearing, 12.0, OTHERS[:2], 40)
    seen = hearing.estimate(Exposure(20, total), now, OTHERS, now)
    assert seen.total == pytest.approx(total * 5 / 3, rel=0.02)

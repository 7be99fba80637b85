"""Retries in a sliding window."""

import random

import pytest

from merlinnotch._limits import RetryBudget, RetryWindow

RATIO = 0.9
USED = 0.92
WINDOW_S = 10.0


def play_clumps(note_first_attempt, take):
    """Return the share of retries denied where six callers come together."""
    wanted = denied = 0
    for clump in range(200):
        now = clump * 1.7
        for _ in range(6):
            note_first_attempt(now)
        for _ in range(3):
            wanted += 1
            denied += not take(now + 0.2)
    return denied / wanted


def test_half_of_all_requests_may_be_sent_twice_whenever_that_falls():
    budget = RetryWindow(RATIO, 2.35, WINDOW_S)
    share = play_clumps(
        budget.note_first_attempt, lambda now: budget.take(now, keep=1.0)
    )
    assert share <= 0.02
    # A bucket of the same ratio and reserve.
    bucket = RetryBudget(RATIO, reserve=2.35, most=2.35)
    share = play_clumps(
        lambda now: bucket.note_first_attempt(), lambda now: bucket.take(keep=1.0)
    )
    assert share >= 0.6


def test_the_reserve_is_there_before_any_request():
    budget = RetryWindow(RATIO, reserve=2.5, window_s=WINDOW_S)
    assert [budget.take(0.0) for _ in range(3)] == [True, True, False]


def test_what_is_kept_is_left_for_others():
    budget = RetryWindow(RATIO, reserve=2.0, window_s=WINDOW_S)
    assert budget.take(0.0, keep=1.0)
    assert not budget.take(0.0, keep=1.0)
    assert budget.take(0.0)


def test_old_retries_are_forgotten():
    budget = RetryWindow(RATIO, reserve=1.0, window_s=WINDOW_S)
    assert budget.take(0.0)
    assert not budget.take(9.9)
    assert budget.take(10.1)


@pytest.mark.parametrize("instances", [8, 72])
def test_a_fleet_whose_callers_repeat_everything_stays_within_its_allowance(instances):
    generator = random.Random(instances)
    slack = 184.0
    part = USED * slack / instances
    fleet = [RetryWindow(USED * RATIO, part, WINDOW_S) for _ in range(instances)]
    firsts, retries = [], []
    now = 0.0
    while now < 60.0:
        # Half of the time many callers come at once.
        rate = 300.0 if int(now / 7) % 2 else 100.0
        now += generator.expovariate(rate)
        one = generator.choice(fleet)
        one.note_first_attempt(now)
        firsts.append(now)
        retries.extend(now for _ in range(3) if one.take(now))
    for start in range(50):
        seen = sum(start <= t < start + WINDOW_S for t in retries)
        own = sum(start <= t < start + WINDOW_S for t in firsts)
        half = sum(start - WINDOW_S / 2 <= t < start + WINDOW_S / 2 for t in firsts)
        before = sum(start - WINDOW_S <= t < start for t in firsts)
        assert seen <= RATIO * max(own, half, before) + slack

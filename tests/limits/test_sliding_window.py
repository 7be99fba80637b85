"""Retry budgets over a sliding window."""

import random

import pytest

from merlinnotch._limits import RetryBudget, SlidingWindowRetryBudget
from merlinnotch._limits.sliding_window import TOKEN_TTL_SHARE

RATIO = 0.9
SAFETY_FACTOR = 0.92
WINDOW_S = 10.0
TOKEN_TTL_S = TOKEN_TTL_SHARE * WINDOW_S


def simulate_bursts(record_first_attempt, try_acquire):
    """Return the fraction of denied retries if requests arrive in bursts of six."""
    attempted = denied = 0
    for burst in range(200):
        now = burst * 1.7
        for _ in range(6):
            record_first_attempt(now)
        for _ in range(3):
            attempted += 1
            denied += not try_acquire(now + 0.2)
    return denied / attempted


def test_bursts_of_retries_for_half_of_the_requests_are_allowed():
    budget = SlidingWindowRetryBudget(RATIO, 2.35, WINDOW_S)
    share = simulate_bursts(
        budget.record_first_attempt,
        lambda now: budget.try_acquire(now, min_remaining=1.0),
    )
    assert share <= 0.02
    # A token bucket of the same ratio and reserve denies them.
    bucket = RetryBudget(RATIO, reserve=2.35, capacity=2.35)
    share = simulate_bursts(
        lambda now: bucket.record_first_attempt(),
        lambda now: bucket.try_acquire(min_remaining=1.0),
    )
    assert share >= 0.6


def test_reserve_is_available_before_any_request():
    budget = SlidingWindowRetryBudget(RATIO, reserve=2.5, window_s=WINDOW_S)
    assert [budget.try_acquire(0.0) for _ in range(3)] == [True, True, False]


def test_kept_retries_remain_available():
    budget = SlidingWindowRetryBudget(RATIO, reserve=2.0, window_s=WINDOW_S)
    assert budget.try_acquire(0.0, min_remaining=1.0)
    assert not budget.try_acquire(0.0, min_remaining=1.0)
    assert budget.try_acquire(0.0)


def test_retries_outside_the_window_do_not_count():
    budget = SlidingWindowRetryBudget(RATIO, reserve=1.0, window_s=WINDOW_S)
    assert budget.try_acquire(0.0)
    assert not budget.try_acquire(9.9)
    assert budget.try_acquire(10.1)


def test_tokens_of_first_attempts_expire():
    budget = SlidingWindowRetryBudget(1.0, reserve=0.0, window_s=WINDOW_S)
    for now in (0.0, 0.5):
        budget.record_first_attempt(now)
    assert budget.can_acquire(TOKEN_TTL_S - 0.01, min_remaining=1.0)
    assert not budget.can_acquire(TOKEN_TTL_S, min_remaining=1.0)
    assert budget.try_acquire(0.5 + TOKEN_TTL_S - 0.01)
    assert not budget.try_acquire(0.5 + TOKEN_TTL_S - 0.01)


def test_retry_takes_the_tokens_that_expire_first():
    budget = SlidingWindowRetryBudget(1.0, reserve=0.0, window_s=WINDOW_S)
    for now in (0.0, 0.5):
        budget.record_first_attempt(now)
    assert budget.try_acquire(0.6)
    assert budget.try_acquire(0.5 + TOKEN_TTL_S - 0.01)


def test_reserve_adds_what_is_missing_to_a_token():
    budget = SlidingWindowRetryBudget(0.75, reserve=0.5, window_s=WINDOW_S)
    budget.record_first_attempt(0.0)
    assert budget.try_acquire(0.0)
    budget.record_first_attempt(6.0)
    assert not budget.can_acquire(6.0, min_remaining=0.1)
    assert budget.try_acquire(6.0)
    budget.record_first_attempt(9.0)
    assert not budget.try_acquire(9.0)


@pytest.mark.parametrize("instances", [8, 72])
def test_fleet_whose_callers_retry_everything_stays_within_the_bound(instances):
    generator = random.Random(instances)
    slack = 184.0
    reserve = SAFETY_FACTOR * slack / instances
    fleet = [
        SlidingWindowRetryBudget(SAFETY_FACTOR * RATIO, reserve, WINDOW_S)
        for _ in range(instances)
    ]
    first_attempts, retries = [], []
    now = 0.0
    while now < 60.0:
        # The request rate alternates between low and high load.
        rate = 300.0 if int(now / 7) % 2 else 100.0
        now += generator.expovariate(rate)
        instance = generator.choice(fleet)
        instance.record_first_attempt(now)
        first_attempts.append(now)
        retries.extend(now for _ in range(3) if instance.try_acquire(now))
    for start in range(50):
        retry_count = sum(start <= t < start + WINDOW_S for t in retries)
        same_window = sum(start <= t < start + WINDOW_S for t in first_attempts)
        half_window_earlier = sum(
            start - WINDOW_S / 2 <= t < start + WINDOW_S / 2 for t in first_attempts
        )
        previous_window = sum(start - WINDOW_S <= t < start for t in first_attempts)
        assert (
            retry_count
            <= RATIO * max(same_window, half_window_earlier, previous_window) + slack
        )

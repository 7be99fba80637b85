"""Fair queueing, the adaptive limit and the retry budget."""

import random

import pytest

from merlinnotch._limits import (
    AdaptiveLimit,
    FairQueue,
    RetryBudget,
    Waiter,
    jitter_retry_after,
    spread_retry_after,
)


def make_waiter(team, weight=1.0, priority=5, deadline=100.0):
    return Waiter(team, weight, priority, deadline)


def drain(queue):
    teams = []
    while len(queue):
        teams.append(queue.pop_first(lambda waiter: True).team)
    return teams


@pytest.fixture
def queue():
    return FairQueue(8)


def test_teams_are_served_in_proportion_to_weight(queue):
    queue.limit = 100
    for _ in range(40):
        queue.push(make_waiter("heavy", 3.0))
        queue.push(make_waiter("light", 1.0))
    first = drain(queue)[:40]
    assert 28 <= first.count("heavy") <= 32


def test_flooding_team_does_not_delay_another(queue):
    for _ in range(7):
        queue.push(make_waiter("flood"))
    queue.push(make_waiter("quiet"))
    assert drain(queue)[1] == "quiet"


def test_low_weight_team_does_not_wait_behind_a_high_weight_team(queue):
    queue.limit = 100
    for _ in range(16):
        queue.push(make_waiter("heavy", 8.0))
    queue.push(make_waiter("light", 1.0))
    assert drain(queue).index("light") <= 1


def test_higher_priority_is_served_first(queue):
    queue.push(make_waiter("a", priority=1))
    queue.push(make_waiter("b", priority=9))
    assert drain(queue) == ["b", "a"]


def test_full_queue_evicts_from_the_team_with_the_largest_share(queue):
    for _ in range(8):
        queue.push(make_waiter("flood"))
    assert queue.push(make_waiter("flood")).team == "flood"
    arriving = make_waiter("quiet")
    evicted = queue.push(arriving)
    assert evicted is not arriving
    assert evicted.team == "flood"
    assert len(queue) == 8


def test_waiters_that_are_not_accepted_are_skipped(queue):
    queue.push(make_waiter("a"))
    queue.push(make_waiter("b"))
    assert queue.pop_first(lambda waiter: waiter.team == "b").team == "b"
    assert queue.pop_first(lambda waiter: False) is None
    assert len(queue) == 1


def test_expired_waiters_are_removed(queue):
    queue.push(make_waiter("late", deadline=1.0))
    queue.push(make_waiter("good", deadline=9.0))
    assert [waiter.team for waiter in queue.pop_expired(2.0)] == ["late"]
    assert len(queue) == 1


def test_expired_work_does_not_count_towards_a_team_share(queue):
    for _ in range(6):
        queue.push(make_waiter("unlucky", deadline=1.0))
    queue.pop_expired(2.0)
    queue.push(make_waiter("other"))
    queue.push(make_waiter("other"))
    queue.push(make_waiter("unlucky"))
    assert drain(queue).index("unlucky") <= 1


def test_removing_a_waiter_twice_returns_false(queue):
    waiter = make_waiter("a")
    queue.push(waiter)
    assert queue.remove(waiter)
    assert not queue.remove(waiter)


def test_retries_are_limited_to_the_ratio():
    budget = RetryBudget(0.1, reserve=0)
    budget = RetryBudget(0.1, reserve=2)
    allowed = sum(budget.try_acquire() for _ in range(50))
    assert allowed == 2
    for _ in range(100):
        budget.record_first_attempt()
    assert 9 <= sum(budget.try_acquire() for _ in range(50)) <= 10


def test_limit_shrinks_with_a_queue_and_grows_when_used():
    limit = AdaptiveLimit(10)
    limit.record_report(slots=16, waiting=8, in_flight=10)
    assert limit.value == 8
    limit.record_report(slots=16, waiting=0, in_flight=8)
    assert limit.value == 9
    limit.record_report(slots=16, waiting=0, in_flight=0)
    assert limit.value == 9
    limit.record_overload()
    assert limit.value == 4


def test_limit_stays_within_bounds():
    limit = AdaptiveLimit(2)
    for _ in range(50):
        limit.record_report(slots=16, waiting=0, in_flight=100)
    assert limit.value == 20
    for _ in range(50):
        limit.record_overload()
    assert limit.value == 1


def test_retry_after_has_jitter():
    generator = random.Random(1)
    delays = [jitter_retry_after(2.0, generator) for _ in range(200)]
    assert min(delays) >= 1.5
    assert max(delays) <= 3.0
    assert len(set(delays)) > 150


def test_spread_retry_after_is_never_shorter():
    generator = random.Random(1)
    delays = [spread_retry_after(2.0, generator) for _ in range(200)]
    assert min(delays) >= 2.0
    assert max(delays) <= 3.0
    assert len(set(delays)) > 100
    assert spread_retry_after(86_400.0, generator) <= 86_410.0


def test_spread_retry_after_leaves_time_for_the_next_attempt():
    generator = random.Random(1)
    delays = [spread_retry_after(2.0, generator, 2.5) for _ in range(200)]
    assert min(delays) >= 2.0
    assert max(delays) <= 2.25
    assert max(spread_retry_after(2.0, generator, 1.0) for _ in range(200)) > 2.25

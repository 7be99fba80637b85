"""Queues, shares, limits and budgets."""

import random

import pytest

from merlinnotch._limits import (
    AdaptiveLimit,
    FairQueue,
    RetryBudget,
    Waiter,
    spread_retry_after,
)


def make(team, weight=1.0, priority=5, deadline=100.0):
    return Waiter(team, weight, priority, deadline)


def drain(queue):
    teams = []
    while len(queue):
        teams.append(queue.pop_first(lambda waiter: True).team)
    return teams


@pytest.fixture
def queue():
    return FairQueue(8)


def test_teams_are_served_by_weight(queue):
    queue.limit = 100
    for _ in range(40):
        queue.push(make("heavy", 3.0))
        queue.push(make("light", 1.0))
    first = drain(queue)[:40]
    assert 28 <= first.count("heavy") <= 32


def test_flood_of_one_team_does_not_hold_up_another(queue):
    for _ in range(7):
        queue.push(make("flood"))
    queue.push(make("quiet"))
    assert drain(queue)[1] == "quiet"


def test_light_team_does_not_wait_for_a_heavy_one_to_have_its_turn(queue):
    queue.limit = 100
    for _ in range(16):
        queue.push(make("heavy", 8.0))
    queue.push(make("light", 1.0))
    assert drain(queue).index("light") <= 1


def test_higher_priority_goes_first(queue):
    queue.push(make("a", priority=1))
    queue.push(make("b", priority=9))
    assert drain(queue) == ["b", "a"]


def test_full_queue_turns_away_whoever_is_furthest_over(queue):
    for _ in range(8):
        queue.push(make("flood"))
    assert queue.push(make("flood")).team == "flood"
    newcomer = make("quiet")
    evicted = queue.push(newcomer)
    assert evicted is not newcomer
    assert evicted.team == "flood"
    assert len(queue) == 8


def test_waiters_that_fit_nowhere_are_passed_over(queue):
    queue.push(make("a"))
    queue.push(make("b"))
    assert queue.pop_first(lambda waiter: waiter.team == "b").team == "b"
    assert queue.pop_first(lambda waiter: False) is None
    assert len(queue) == 1


def test_expired_waiters_come_out(queue):
    queue.push(make("late", deadline=1.0))
    queue.push(make("good", deadline=9.0))
    assert [waiter.team for waiter in queue.pop_expired(2.0)] == ["late"]
    assert len(queue) == 1


def test_work_that_was_never_done_does_not_count_against_a_team(queue):
    for _ in range(6):
        queue.push(make("unlucky", deadline=1.0))
    queue.pop_expired(2.0)
    queue.push(make("other"))
    queue.push(make("other"))
    queue.push(make("unlucky"))
    assert drain(queue).index("unlucky") <= 1


def test_removing_twice_says_so(queue):
    waiter = make("a")
    queue.push(waiter)
    assert queue.remove(waiter)
    assert not queue.remove(waiter)


def test_retries_are_held_to_the_ratio():
    budget = RetryBudget(0.1, reserve=0)
    budget = RetryBudget(0.1, reserve=2)
    allowed = sum(budget.take() for _ in range(50))
    assert allowed == 2
    for _ in range(100):
        budget.note_first_attempt()
    assert 9 <= sum(budget.take() for _ in range(50)) <= 10


def test_limit_shrinks_with_a_queue_and_grows_in_use():
    limit = AdaptiveLimit(10)
    limit.note_report(slots=16, waiting=8, in_flight=10)
    assert limit.value == 8
    limit.note_report(slots=16, waiting=0, in_flight=8)
    assert limit.value == 9
    limit.note_report(slots=16, waiting=0, in_flight=0)
    assert limit.value == 9
    limit.note_overload()
    assert limit.value == 4


def test_limit_stays_within_bounds():
    limit = AdaptiveLimit(2)
    for _ in range(50):
        limit.note_report(slots=16, waiting=0, in_flight=100)
    assert limit.value == 20
    for _ in range(50):
        limit.note_overload()
    assert limit.value == 1


def test_times_to_come_back_are_spread():
    generator = random.Random(1)
    times = [spread_retry_after(2.0, generator) for _ in range(200)]
    assert min(times) >= 1.5
    assert max(times) <= 3.0
    assert len(set(times)) > 150

"""What an instance holds of requests and responses together."""

import pytest

from merlinnotch._errors import MemoryExhausted
from merlinnotch._limits import MemoryBudget
from merlinnotch._limits.memory_budget import LARGE_SHARE, SMALL_BYTES

LIMIT_BYTES = 100 * SMALL_BYTES
LARGE_BYTES = int(LARGE_SHARE * LIMIT_BYTES)


class Response:
    """A response that is arriving; *was_ended* is set if it had to make room."""

    def __init__(self, budget):
        self.was_ended = False
        self.holding = budget.hold(self._end)

    def _end(self):
        self.was_ended = True


@pytest.fixture
def budget():
    return MemoryBudget(LIMIT_BYTES)


def test_sum_is_limited(budget):
    responses = [Response(budget) for _ in range(40)]
    for size in range(SMALL_BYTES, 4 * LIMIT_BYTES, SMALL_BYTES):
        for response in responses:
            if not response.was_ended:
                try:
                    response.holding.resize(size)
                except MemoryExhausted:
                    response.holding.release()
                    response.was_ended = True
        assert budget.held_bytes <= LIMIT_BYTES
    assert budget.held_bytes == 0


def test_largest_response_makes_room_for_a_smaller_one(budget):
    large, medium, new = Response(budget), Response(budget), Response(budget)
    medium.holding.resize(2 * SMALL_BYTES)
    large.holding.resize(LARGE_BYTES - 2 * SMALL_BYTES)
    new.holding.resize(2 * SMALL_BYTES)
    assert large.was_ended
    assert not medium.was_ended
    assert budget.held_bytes == 4 * SMALL_BYTES
    with pytest.raises(MemoryExhausted):
        large.holding.resize(LARGE_BYTES)


def test_largest_response_does_not_end_smaller_ones(budget):
    small, large = Response(budget), Response(budget)
    small.holding.resize(SMALL_BYTES)
    with pytest.raises(MemoryExhausted):
        large.holding.resize(LARGE_BYTES)
    assert not small.was_ended


def test_complete_response_is_kept_until_it_is_released(budget):
    complete, new = Response(budget), Response(budget)
    complete.holding.resize(LARGE_BYTES)
    complete.holding.settle()
    with pytest.raises(MemoryExhausted):
        new.holding.resize(2 * SMALL_BYTES)
    assert not complete.was_ended
    complete.holding.release()
    new.holding.resize(2 * SMALL_BYTES)


def test_small_ones_have_some_room_for_themselves(budget):
    request = budget.hold()
    request.resize(LARGE_BYTES)
    with pytest.raises(MemoryExhausted):
        budget.hold().resize(2 * SMALL_BYTES)
    budget.hold().resize(SMALL_BYTES)


def test_request_is_not_ended_for_others(budget):
    request = budget.hold()
    request.resize(LARGE_BYTES)
    with pytest.raises(MemoryExhausted):
        Response(budget).holding.resize(2 * SMALL_BYTES)
    request.resize(LARGE_BYTES)


def test_end_of_the_context_releases_what_is_held(budget):
    with budget.hold() as holding:
        holding.resize(SMALL_BYTES)
    assert budget.held_bytes == 0


def test_without_a_limit_everything_is_held():
    budget = MemoryBudget(0)
    budget.hold().resize(10**12)
    assert budget.held_bytes == 10**12

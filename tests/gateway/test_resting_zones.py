"""What callers get in a simulated fleet while whole zones of upstreams rest."""

import bisect

import pytest

from benchmarks.resting_fleet import (
    RETRY_RATIO,
    RETRY_SLACK,
    RETRY_WINDOW_S,
    UPSTREAMS_PER_ZONE,
    ZONES,
)
from benchmarks.resting_zones import (
    AFTER_REST,
    BEFORE_REST,
    IN_REST,
    REACTION_S,
    ROUND_TRIP_S,
    RestSimulation,
)

RESTING_ZONES = ZONES[:2]
OTHER_ZONES = ZONES[2:]
MAX_SENDS_IN_REST = 2
UPSTREAMS = UPSTREAMS_PER_ZONE * len(ZONES)


@pytest.fixture(scope="module")
def ignored():
    """Return the simulation of two resting zones whose notices are ignored."""
    return RestSimulation(RESTING_ZONES, records_notices=False).run()


@pytest.fixture(scope="module")
def recorded():
    """Return the simulation of two resting zones whose notices are recorded."""
    return RestSimulation(RESTING_ZONES).run()


@pytest.fixture(scope="module")
def all_resting():
    """Return the simulation in which all zones rest."""
    return RestSimulation(ZONES).run()


@pytest.fixture(params=["recorded", "all_resting"])
def simulation(request):
    """Return each simulation in which notices are recorded."""
    return request.getfixturevalue(request.param)


def count_in_window(times, until):
    """Return how many of the sorted *times* are in the retry window before *until*."""
    start = bisect.bisect_right(times, until - RETRY_WINDOW_S)
    return bisect.bisect_right(times, until) - start


def count_served(requests):
    return sum(request.is_served for request in requests)


def test_resting_upstreams_get_few_requests(simulation):
    assert simulation.count_most_in_rest() <= MAX_SENDS_IN_REST


def test_upstreams_whose_notices_are_ignored_get_requests_in_their_rest(ignored):
    # Without this the limit above could hold by itself.
    assert ignored.count_most_in_rest() > MAX_SENDS_IN_REST


def test_load_moves_to_the_other_zones(recorded):
    rates_per_s = [
        recorded.count_runs(OTHER_ZONES, phase) / (phase.end - phase.start)
        for phase in (BEFORE_REST, IN_REST)
    ]
    assert rates_per_s[0] < rates_per_s[1]


def test_notices_get_more_callers_served_by_fewer_sends(ignored, recorded):
    requests = recorded.list_requests(IN_REST)
    ignored_requests = ignored.list_requests(IN_REST)
    served_share = count_served(requests) / len(requests)
    assert served_share >= count_served(ignored_requests) / len(ignored_requests)
    sends = sum(request.send_count for request in requests) / len(requests)
    assert sends < sum(r.send_count for r in ignored_requests) / len(ignored_requests)


def test_load_beyond_the_other_zones_is_refused_at_once(simulation):
    delays_s = [
        delay_s
        for request in simulation.list_requests(IN_REST)
        for delay_s in request.refusal_delays_s
    ]
    assert delays_s
    assert max(delays_s) <= UPSTREAMS * ROUND_TRIP_S + 1e-9


def test_retries_stay_within_the_budget_of_the_fleet(simulation):
    requests = simulation.requests
    call_times = sorted(at for request in requests for at in request.call_times)
    retry_times = sorted(at for request in requests for at in request.retry_times)
    for now in retry_times:
        max_retries = RETRY_RATIO * count_in_window(call_times, now) + RETRY_SLACK
        assert count_in_window(retry_times, now) <= max_retries


def test_callers_are_served_after_the_rest(simulation):
    requests = simulation.list_requests(AFTER_REST)
    assert count_served(requests) == len(requests)


def test_caller_refused_while_all_rest_returns_after_the_rest(all_resting):
    # Those of the first round trips are turned away before any notice is known.
    known_from = IN_REST.start + REACTION_S
    returned = [
        at
        for request in all_resting.list_requests(IN_REST)
        for at in request.call_times[1:]
        if request.arrived_at > known_from
    ]
    assert returned
    assert min(returned) >= IN_REST.end

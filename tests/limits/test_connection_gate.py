"""Closing new connections while the process falls behind."""

import pytest

from merlinnotch._limits.connection_gate import (
    BEAT_INTERVAL_S,
    INITIAL_WINDOW,
    MAX_LAG_S,
    ConnectionGate,
)

COST_S = 0.0025
"""Processor time of a request."""
RESET_COST_S = 0.00005
"""Processor time of a connection that is closed unread."""
TURNS = 5
"""Turns of the scheduler that a request takes."""
PATIENCE_S = 0.5
"""Time in which a caller wants its answer."""


@pytest.fixture
def gate():
    return ConnectionGate()


def try_accept(gate):
    """Return whether *gate* accepts another connection."""
    if not gate.has_room:
        return False
    gate.admit()
    return True


def count_accepted(gate, offered=1000):
    return sum(try_accept(gate) for _ in range(offered))


def record_beats(gate, count, lag_s, now=0.0):
    """Record *count* beats, each *lag_s* late; return the time of the last one."""
    for _ in range(count):
        now += BEAT_INTERVAL_S + lag_s
        gate.record_beat(now)
    return now


def test_process_in_time_accepts_connections(gate):
    record_beats(gate, 100, 0.5 * MAX_LAG_S)
    assert count_accepted(gate) >= INITIAL_WINDOW


def test_late_process_accepts_few_connections(gate):
    record_beats(gate, 20, 4 * MAX_LAG_S)
    assert 0 < count_accepted(gate) <= 0.1 * INITIAL_WINDOW


def test_connections_are_accepted_again_after_an_overload(gate):
    now = record_beats(gate, 20, 4 * MAX_LAG_S)
    record_beats(gate, 100, 0.0, now)
    assert count_accepted(gate) >= INITIAL_WINDOW


def test_suspension_of_the_process_refuses_no_usual_load(gate):
    now = record_beats(gate, 10, 0.0)
    record_beats(gate, 1, 3.0, now)
    assert count_accepted(gate) >= 0.5 * INITIAL_WINDOW


class EveryConnection:
    """Accepts all connections."""

    def record_beat(self, now):
        pass

    has_room = True

    def admit(self):
        pass


def take_turn(in_progress, now, cost_s):
    """Work on each request for a turn, and remove those that are done.

    Return the time after it, and how many requests sent after the first three seconds
    were answered in time. A request is a list of when it was sent and its turns.
    """
    answered = 0
    for request in in_progress:
        now += cost_s / TURNS
        request[1] += 1
        is_in_time = now - request[0] <= PATIENCE_S
        answered += request[1] == TURNS and is_in_time and request[0] > 3.0
    in_progress[:] = [request for request in in_progress if request[1] < TURNS]
    return now, answered


def play(gate, rate, duration_s=10.0, cost_s=COST_S, reset_cost_s=RESET_COST_S):
    """Return how many requests were read and how many of them answered in time.

    A scheduler gives each request a part of its processor time in each turn. Requests
    of the first three seconds don't count.
    """
    now, arrived, beat_at = 0.0, 0, 0.0
    in_progress = []
    read = answered = 0
    while now < duration_s:
        turn_began_at = now
        if now >= beat_at:
            gate.record_beat(now)
            beat_at = now + BEAT_INTERVAL_S
        while arrived < now * rate:
            connected_at = arrived / rate
            arrived += 1
            if try_accept(gate):
                in_progress.append([connected_at, 0])
                read += connected_at > 3.0
            else:
                now += reset_cost_s
        now, answered_now = take_turn(in_progress, now, cost_s)
        answered += answered_now
        now = max(now, turn_began_at + 0.001)
    return read, answered


@pytest.mark.parametrize("rate", [450, 800, 1600, 5000])
def test_most_requests_that_are_read_are_answered_in_time(rate):
    read, answered = play(ConnectionGate(), rate)
    assert answered >= 0.75 * read > 0
    # All requests that there is processor time for, less that of the closed ones.
    available = (1.0 - RESET_COST_S * rate) / COST_S
    assert answered >= 0.6 * 7.0 * min(rate, available)


def test_without_a_bound_no_request_is_answered_in_time():
    read, answered = play(EveryConnection(), 800)
    assert answered < 0.05 * read


def test_usual_load_is_accepted():
    read, answered = play(ConnectionGate(), 300)
    assert answered >= 0.99 * read
    assert read >= 0.99 * 300 * 7.0


@pytest.mark.parametrize("reset_cost_s", [0.0, RESET_COST_S])
@pytest.mark.parametrize("rate", [100, 400, 1000, 2000, 5000])
def test_process_with_a_tenth_of_a_core_answers_what_it_reads(rate, reset_cost_s):
    cost_s = 10.0 * COST_S
    read, answered = play(ConnectionGate(), rate, 10.0, cost_s, reset_cost_s)
    assert answered >= 0.75 * read > 0


class KeptCaller:
    """Sends a request each PERIOD_S on a connection that it keeps while it may.

    Without a connection its requests go elsewhere until it gets a new one.
    """

    def __init__(self, first_at):
        self.next_at = first_at
        self.is_connected = True


def admit_on_kept_connection(gate):
    """Count a request on a kept connection; return whether to keep it further."""
    has_room = gate.has_room
    gate.admit()
    return has_room


PERIOD_S = 0.5


def play_kept(gate, rate, duration_s=10.0):
    """Return how many requests on kept connections were read and how many in time.

    All callers are connected at the beginning, as if they had come one by one while
    each sent little. Requests of the first three seconds don't count.
    """
    count = int(rate * PERIOD_S)
    callers = [KeptCaller(PERIOD_S * number / count) for number in range(count)]
    now, beat_at = 0.0, 0.0
    in_progress = []
    read = answered = 0
    while now < duration_s:
        turn_began_at = now
        if now >= beat_at:
            gate.record_beat(now)
            beat_at = now + BEAT_INTERVAL_S
        for caller in callers:
            if caller.next_at > now:
                continue
            sent_at = caller.next_at
            caller.next_at = sent_at + PERIOD_S
            if caller.is_connected:
                caller.is_connected = admit_on_kept_connection(gate)
            elif try_accept(gate):
                caller.is_connected = True
            else:
                now += RESET_COST_S
                continue
            in_progress.append([sent_at, 0])
            read += sent_at > 3.0
        now, answered_now = take_turn(in_progress, now, COST_S)
        answered += answered_now
        now = max(now, turn_began_at + 0.001)
    return read, answered


@pytest.mark.parametrize("rate", [450, 800, 1600, 3000])
def test_most_requests_on_kept_connections_are_answered_in_time(rate):
    read, answered = play_kept(ConnectionGate(), rate)
    assert answered >= 0.75 * read > 0


@pytest.mark.parametrize("rate", [450, 800, 1600])
def test_processor_time_is_used_for_requests_on_kept_connections(rate):
    _, answered = play_kept(ConnectionGate(), rate)
    available = (1.0 - RESET_COST_S * rate) / COST_S
    assert answered >= 0.6 * 7.0 * min(rate, available)


@pytest.mark.parametrize("rate", [450, 800, 1600])
def test_without_a_bound_no_request_on_a_kept_connection_is_answered_in_time(rate):
    read, answered = play_kept(EveryConnection(), rate)
    assert answered < 0.05 * read


def test_connections_are_kept_under_usual_load(gate):
    record_beats(gate, 100, 0.0)
    assert all(admit_on_kept_connection(gate) for _ in range(20))

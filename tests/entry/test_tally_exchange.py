"""Counters that instances send to the evaluators of a rollout."""

import cbor2
import pytest

from merlinnotch._entry.datagrams import MAX_DATAGRAM_BYTES, MessageKind
from merlinnotch._entry.tally_exchange import TallyExchange
from merlinnotch._fleet import PeerAddress, RolloutOrder
from merlinnotch._fleet.view import FleetView
from merlinnotch._rollout import AnswerCounts, TallyKey, TimeKey

ORDER = RolloutOrder("app", "v2", 24.0, 5)


class FakeTransport:
    """Delivers messages that fit a datagram to all other handlers."""

    def __init__(self):
        self.handlers = []
        self.sent = 0

    def handle(self, kind, handler):
        """Register the handler of tallies; ignore others."""
        if kind is MessageKind.TALLY:
            self.handlers.append(handler)

    def send(self, kind, body, addresses):
        """Deliver the message unless it exceeds a datagram."""
        data = cbor2.dumps([int(kind), body])
        if len(data) > MAX_DATAGRAM_BYTES:
            return False
        self.sent += 1
        for handler in self.handlers[1:]:
            handler(cbor2.loads(data)[1])
        return True


@pytest.fixture
def transport():
    return FakeTransport()


def make_exchange(transport, name):
    """Return an instance's tally exchange and its counts."""
    view = FleetView(lambda *item: None)
    for other in ("one", "two"):
        view.peer_directory.mark_present(PeerAddress(other, "zone-a", "127.0.0.1:1"))
    view.get_rollout("app").order = ORDER
    counts = AnswerCounts.start(f"{name}/1")
    callbacks = (ignore, ignore, ignore)
    exchange = TallyExchange(transport, name, view, counts, read_clock, *callbacks)
    return exchange, counts


def read_clock():
    return 0.0


def ignore(*args):
    """Ignore the arguments."""


def count_all(book):
    return sum(book.sum(key).answers for key in book.list_keys(ORDER))


@pytest.mark.parametrize("length", [6, 120])
def test_all_counters_arrive_for_any_length_of_names(transport, length):
    exchange, counts = make_exchange(transport, "one")
    _, received = make_exchange(transport, "two")
    for number in range(40):
        route = f"{number:0{length}}"
        counts.tallies.count(TallyKey("app", "v2", route, 5))
        counts.times.count(TimeKey("app", "v2", route, 5, "whole", 2, 30))
    exchange.send_counters(ORDER)
    assert count_all(received.tallies) == 40
    assert count_all(received.times) == 40


def test_time_counters_are_sent_twice_after_a_change(transport):
    exchange, counts = make_exchange(transport, "one")
    _, received = make_exchange(transport, "two")
    counts.times.count(TimeKey("app", "v2", "route", 5, "whole", 2, 30))
    sent_rows = []
    transport.handlers[1] = lambda body: sent_rows.append(len(body[5]))
    for _ in range(4):
        exchange.send_counters(ORDER)
    assert sent_rows == [1, 1, 0, 0]
    assert count_all(received.times) == 0


def test_times_before_the_order_are_sent_with_its_first_ones(transport):
    exchange, counts = make_exchange(transport, "one")
    _, received = make_exchange(transport, "two")
    for _ in range(30):
        counts.remember_time(TimeKey("app", "v1", "route", 0, "whole", 2, 30))
    counts.count_time(TimeKey("app", "v2", "route", 5, "whole", 2, 30))
    exchange.send_counters(ORDER)
    assert count_all(received.times) == 25


def test_repeated_counter_counts_once(transport):
    exchange, counts = make_exchange(transport, "one")
    _, received = make_exchange(transport, "two")
    counts.times.count(TimeKey("app", "v2", "route", 5, "whole", 2, 30))
    exchange.send_counters(ORDER)
    exchange.send_counters(ORDER)
    assert count_all(received.times) == 1

"""Splitting of event streams."""

import pytest
from hypothesis import given, strategies

from merlinnotch._errors import ConnectionBroken
from merlinnotch._gateway.events import MAX_EVENT_BYTES, EventSplitter

ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")


def split_by_hand(data):
    """Return the complete events of *data* and what follows them."""
    events = []
    while True:
        ends = [data.find(end) + len(end) for end in ENDS if end in data]
        if not ends:
            return events, data
        events.append(data[: min(ends)])
        data = data[min(ends) :]


@given(
    strategies.lists(strategies.sampled_from([b"a", b"\n", b"\r", b"\r\n", b"id: 1"])),
    strategies.integers(1, 7),
)
def test_events_are_the_same_however_they_arrive(pieces, size):
    data = b"".join(pieces)
    splitter = EventSplitter()
    events = []
    for begin in range(0, len(data), size):
        events += splitter.feed(data[begin : begin + size])
    assert ([e.data for e in events], splitter.remainder) == split_by_hand(data)


def test_event_beyond_the_size_limit_raises():
    splitter = EventSplitter()
    with pytest.raises(ConnectionBroken):
        for _ in range(MAX_EVENT_BYTES + 1):
            splitter.feed(b"x")

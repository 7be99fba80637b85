"""Entries of a restored store that their upstreams had replaced or deleted before."""

import pytest

from merlinnotch._fleet import Upstream
from merlinnotch._fleet.superseded import DOUBT_S, SupersededEntries
from merlinnotch._store import Item

NOW = 100.0
ITEM = Item("servers/i-1", b"", 5)


def make_upstream(sequence, started_ms=0):
    return Upstream(
        "i-1",
        "app",
        "10.0.0.1:1",
        "a",
        "v1",
        4,
        started_ms=started_ms,
        sequence=sequence,
    )


@pytest.fixture
def superseded():
    return SupersededEntries()


@pytest.mark.parametrize("sequence, expected", [(2, True), (3, True), (4, False)])
def test_entry_is_older_than_the_known_one(superseded, sequence, expected):
    entry = make_upstream(sequence)
    current = make_upstream(3)
    assert superseded.is_superseded(ITEM, entry, current, NOW) is expected


def test_entry_of_another_start_is_applied(superseded):
    current = make_upstream(3, started_ms=1)
    assert not superseded.is_superseded(ITEM, make_upstream(0, 2), current, NOW)


def test_entry_of_an_unknown_upstream_is_applied(superseded):
    assert not superseded.is_superseded(ITEM, make_upstream(0), None, NOW)


def test_entry_of_an_upstream_that_had_left_is_applied_after_a_while(superseded):
    superseded.record_removed(make_upstream(3))
    assert superseded.is_superseded(ITEM, make_upstream(3), None, NOW)
    assert superseded.pop_due(NOW + DOUBT_S - 0.1) == []
    assert superseded.pop_due(NOW + DOUBT_S) == [ITEM]
    assert superseded.pop_due(NOW + DOUBT_S) == []


def test_later_entry_of_an_upstream_that_had_left_is_applied(superseded):
    superseded.record_removed(make_upstream(3))
    assert not superseded.is_superseded(ITEM, make_upstream(4), None, NOW)


def test_doubted_entry_that_changes_is_not_applied_again(superseded):
    superseded.record_removed(make_upstream(3))
    superseded.is_superseded(ITEM, make_upstream(3), None, NOW)
    superseded.forget(ITEM.key)
    assert superseded.pop_due(NOW + DOUBT_S) == []

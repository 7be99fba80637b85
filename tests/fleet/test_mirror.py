"""A mirror never goes back, whoever tells it."""

import pytest

from merlinnotch._fleet.mirror import Mirror, MirrorPart
from merlinnotch._store import Changes, Item, Listing


def item(key, index, value=b"v"):
    return Item(key, value, index)


@pytest.fixture
def mirror():
    mirror = Mirror()
    mirror.replace(Listing((item("a", 3), item("b", 5)), 6))
    return mirror


def test_changes_are_taken_in_order(mirror):
    differences = mirror.apply(Changes((item("a", 7),), ("b",), 8))
    assert [(d.key, d.item is None) for d in differences] == [("b", True), ("a", False)]
    assert mirror.index == 8


def test_an_older_full_read_changes_nothing(mirror):
    assert mirror.replace(Listing((item("a", 2),), 4)) == []
    assert mirror.items["a"].modify_index == 3


def test_an_older_part_of_a_peer_changes_nothing(mirror):
    assert mirror.merge(MirrorPart(6, (item("c", 6),), ("c",))) == []
    assert set(mirror.items) == {"a", "b"}


def test_a_newer_part_of_a_peer_brings_deletions_too(mirror):
    differences = mirror.merge(MirrorPart(9, (item("c", 9),), ("a", "c")))
    assert {d.key for d in differences} == {"b", "c"}
    assert set(mirror.items) == {"a", "c"}


def test_what_is_exported_brings_a_peer_up_to_date(mirror):
    other = Mirror()
    other.replace(Listing((item("a", 3), item("gone", 2)), 3))
    other.merge(mirror.export(other.index))
    assert other.items == mirror.items
    assert other.index == mirror.index


def test_an_item_is_not_replaced_by_an_older_one(mirror):
    mirror.apply(Changes((item("b", 4, b"old"),), (), 8))
    assert mirror.items["b"].modify_index == 5

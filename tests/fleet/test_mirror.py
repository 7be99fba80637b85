"""A mirror never reverts to an older state, whatever the source of an update."""

import pytest

from merlinnotch._fleet.mirror import Mirror, MirrorUpdate
from merlinnotch._store import Changes, Item, Listing, build_index


def make_item(key, index, value=b"v"):
    return Item(key, value, index)


@pytest.fixture
def mirror():
    mirror = Mirror()
    mirror.replace(Listing((make_item("a", 3), make_item("b", 5)), 6))
    return mirror


def test_watch_reply_is_applied(mirror):
    key_changes = mirror.apply(Changes((make_item("a", 7),), ("b",), 8))
    assert [(d.key, d.item is None) for d in key_changes] == [("b", True), ("a", False)]
    assert mirror.index == 8


def test_older_full_read_is_ignored(mirror):
    assert mirror.replace(Listing((make_item("a", 2),), 4)) == []
    assert mirror.items["a"].modify_index == 3


def test_older_part_from_peer_is_ignored(mirror):
    assert mirror.merge(MirrorUpdate(6, (make_item("c", 6),), ("c",))) == []
    assert set(mirror.items) == {"a", "b"}


def test_newer_part_from_peer_applies_deletions(mirror):
    key_changes = mirror.merge(MirrorUpdate(9, (make_item("c", 9),), ("a", "c")))
    assert {d.key for d in key_changes} == {"b", "c"}
    assert set(mirror.items) == {"a", "c"}


def test_exported_part_brings_peer_up_to_date(mirror):
    other = Mirror()
    other.replace(Listing((make_item("a", 3), make_item("gone", 2)), 3))
    other.merge(mirror.export(other.index))
    assert other.items == mirror.items
    assert other.index == mirror.index


def test_item_is_not_replaced_by_older_one(mirror):
    mirror.apply(Changes((make_item("b", 4, b"old"),), (), 8))
    assert mirror.items["b"].modify_index == 5


def test_full_read_of_a_restored_store_replaces_later_revisions(mirror):
    items = (make_item("a", build_index(1, 3)), make_item("c", build_index(1, 4)))
    key_changes = mirror.replace(Listing(items, build_index(1, 4)))
    assert {d.key for d in key_changes} == {"a", "b", "c"}
    assert set(mirror.items) == {"a", "c"}
    assert mirror.era == 1


def test_update_from_a_peer_that_missed_a_restore_is_ignored(mirror):
    mirror.replace(Listing((), build_index(1, 2)))
    assert mirror.merge(MirrorUpdate(9, (make_item("a", 9),), ("a",))) == []
    assert mirror.items == {}

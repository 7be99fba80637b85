"""Applying revisions by compare-and-swap."""

import pytest

from merlinnotch._config import Revision, RevisionLog
from merlinnotch._errors import RevisionConflict, StoreConflict, StoreUnavailable
from merlinnotch._store import MemoryStore


class LossyStore(MemoryStore):
    """Loses the replies of some writes, or delays them until after a reply."""

    def __init__(self):
        super().__init__()
        self.lose = 0
        self.drop = 0

    def swap(self, key, value, modify_index):
        if self.drop:
            self.drop -= 1
            raise StoreUnavailable("dropped")
        result = super().swap(key, value, modify_index)
        if self.lose:
            self.lose -= 1
            raise StoreUnavailable("reply lost")
        return result


@pytest.fixture
def store():
    return LossyStore()


@pytest.fixture
def log(store):
    return RevisionLog(store)


def test_revisions_count_up_and_stay_in_history(log):
    for number in range(3):
        log.apply({"n": number}, number, "ann", 1.0)
    assert [r.document["n"] for r in log.read_history()] == [0, 1, 2]
    assert log.read_current().number == 3


def test_late_plan_is_a_conflict_that_names_the_winner(log):
    log.apply({}, 0, "ann", 1.0)
    with pytest.raises(RevisionConflict) as caught:
        log.apply({}, 0, "ben", 1.0)
    assert (caught.value.revision, caught.value.author) == (1, "ann")


def test_operators_at_the_same_moment_have_one_winner(store, log):
    read = store.read

    def read_and_race(key, recurse=False):
        listing = read(key, recurse)
        store.read = read
        RevisionLog(store).apply({"of": "ben"}, 0, "ben", 1.0)
        return listing

    store.read = read_and_race
    with pytest.raises(RevisionConflict) as caught:
        log.apply({"of": "ann"}, 0, "ann", 1.0)
    assert caught.value.author == "ben"


@pytest.mark.parametrize("fault", ["lose", "drop"])
def test_lost_reply_is_settled(store, log, fault):
    setattr(store, fault, 1)
    assert log.apply({}, 0, "ann", 1.0).number == 1
    assert len(log.read_history()) == 1


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_lost_replies_of_the_history_are_settled_too(store, log, lost):
    log.apply({}, 0, "ann", 1.0)
    store.lose = lost
    assert log.apply({}, 1, "ann", 1.0).number == 2
    assert [revision.number for revision in log.read_history()] == [1, 2]


def test_own_write_overtaken_by_a_later_revision_still_counts(store, log):
    store.lose = 1
    swap = store.swap

    def swap_then_move_on(key, value, modify_index):
        try:
            return swap(key, value, modify_index)
        except StoreUnavailable:
            store.swap = swap
            RevisionLog(store).apply({}, 1, "ben", 2.0)
            raise

    store.swap = swap_then_move_on
    assert log.apply({}, 0, "ann", 1.0).number == 1


def test_unreachable_store_says_so(store, log):
    store.drop = 100
    with pytest.raises(StoreUnavailable):
        log.apply({}, 0, "ann", 1.0)


def test_revision_rejects_other_bytes():
    with pytest.raises(ValueError):
        Revision.decode(b'{"number": 1}')
    with pytest.raises(ValueError):
        Revision.decode(b"\xff")


def test_memory_store_compares(store):
    with pytest.raises(StoreConflict):
        store.swap("k", b"v", 5)

"""Deciding which revision is in force."""

import pytest

from merlinnotch._config import Revision, RevisionTracker, load_files
from merlinnotch._config.tracker import Offer


@pytest.fixture
def document():
    return load_files("examples/authority")[0]


@pytest.fixture
def make(document):
    return lambda number, doc=None: Revision(number, "id", "ann", 0.0, doc or document)


@pytest.fixture
def tracker():
    return RevisionTracker()


def test_revisions_go_upward_only(tracker, make):
    assert tracker.offer(make(2), 0.0) is Offer.TAKEN
    assert tracker.offer(make(1), 1.0) is Offer.OLDER
    assert tracker.offer(make(2), 1.0) is Offer.KNOWN
    assert tracker.offer(make(3), 2.0) is Offer.TAKEN
    assert tracker.number == 3


def test_unreadable_revision_leaves_the_old_one_in_force(tracker, make):
    tracker.offer(make(1), 0.0)
    assert tracker.offer(make(2, {"teams": 5}), 1.0) is Offer.UNREADABLE
    assert tracker.number == 1


def test_freshness_needs_recent_proof_of_this_very_revision(tracker, make):
    assert not tracker.is_fresh(0.0)
    tracker.offer(make(2), 0.0)
    limit = tracker.catalogue.tuning.fresh_for_s
    assert tracker.is_fresh(limit)
    assert not tracker.is_fresh(limit + 1)
    tracker.prove(1, limit)
    assert not tracker.is_fresh(limit + 1)
    tracker.prove(2, limit)
    assert tracker.is_fresh(limit + 1)


def test_proof_never_goes_back(tracker, make):
    tracker.offer(make(2), 50.0)
    tracker.prove(2, 10.0)
    assert tracker.proved_at == 50.0

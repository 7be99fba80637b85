"""Notices of upstreams, as the fleet view combines and keeps them."""

import logging

import pytest

from merlinnotch._fleet import UpstreamStart
from merlinnotch._fleet.view import EXPIRED_ENTRY_GRACE_S
from merlinnotch._notices import NoticeSource
from tests.fleet.test_view import Writer, upstream

KEY = "servers/i-1"
START = UpstreamStart("i-1", 1000)
NOW = 10.0


@pytest.fixture
def writer():
    """Return a :class:`Writer` of a view that lists one upstream."""
    writer = Writer()
    writer.put(KEY, upstream(born=1000))
    return writer


def list_accepting(writer, now):
    return [u.start for u in writer.view.list_accepting("s", now)]


def record_leaving(writer):
    writer.view.notices.record_leaving(START, NoticeSource.ANSWER, NOW)


def test_upstream_gets_no_requests_after_its_own_notice(writer):
    assert list_accepting(writer, NOW) == [START]
    record_leaving(writer)
    assert list_accepting(writer, NOW) == []
    assert writer.view.list_staying("s", NOW) == []
    assert writer.view.count_leaving("s", NOW) == 1


def test_notice_is_not_lost_with_a_late_entry_that_says_ready(writer):
    record_leaving(writer)
    writer.put(KEY, upstream(born=1000, seq=2), now=NOW)
    assert list_accepting(writer, NOW) == []


def test_notice_is_not_lost_while_the_entry_is_removed(writer):
    record_leaving(writer)
    writer.delete(KEY, now=NOW)
    writer.put(KEY, upstream(born=1000), now=NOW)
    assert list_accepting(writer, NOW) == []


def test_notice_is_not_lost_while_the_entry_is_expired(writer):
    record_leaving(writer)
    writer.delete(KEY, now=NOW, store_restored_at=NOW)
    assert list_accepting(writer, NOW) == []
    writer.put(KEY, upstream(born=1000), now=NOW + 1.0)
    writer.view.remove_expired(NOW + EXPIRED_ENTRY_GRACE_S)
    assert list_accepting(writer, NOW + 3.0) == []


def test_new_start_is_not_left_out_for_the_one_before(writer):
    record_leaving(writer)
    writer.view.notices.record_rest(START, 60.0, NOW)
    writer.put(KEY, upstream(born=2000), now=NOW)
    assert list_accepting(writer, NOW) == [UpstreamStart("i-1", 2000)]
    assert len(writer.view.notices) == 0


def test_rest_is_not_lost_with_a_new_entry(writer):
    writer.view.notices.record_rest(START, 3.0, NOW)
    writer.put(KEY, upstream(born=1000, seq=2), now=NOW + 1.0)
    assert list_accepting(writer, NOW + 2.9) == []
    assert [u.start for u in writer.view.list_staying("s", NOW)] == [START]
    assert list_accepting(writer, NOW + 3.0) == [START]


def test_leaving_by_the_store_counts_in_the_same_query(writer, caplog):
    caplog.set_level(logging.INFO, "merlinnotch")
    for seq in (2, 3):
        writer.put(KEY, upstream("draining", born=1000, seq=seq), now=NOW)
        assert list_accepting(writer, NOW) == []
    assert writer.view.count_leaving("s", NOW) == 1
    leaving = [r for r in caplog.records if r.message == "upstream leaving"]
    assert [(r.upstream, r.source) for r in leaving] == [("i-1", "store")]
    writer.put(KEY, upstream(born=1000, seq=4), now=NOW)
    assert list_accepting(writer, NOW) == [START]


def test_resting_upstream_gets_no_checks_but_a_leaving_one_does(writer):
    entry = writer.view.find_upstream("i-1")
    record_leaving(writer)
    assert writer.view.accepts_checks(entry, NOW)
    writer.view.notices.record_rest(START, 3.0, NOW)
    assert not writer.view.accepts_checks(entry, NOW)
    assert writer.view.accepts_checks(entry, NOW + 3.0)

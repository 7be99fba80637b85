"""What upstreams asked of their senders, by start and time."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from merlinnotch._notices import NoticeSource, UpstreamNotices

START = ("i-1", 1000)
OTHER_START = ("i-1", 2000)
NOW = 50.0


@pytest.fixture
def notices():
    return UpstreamNotices()


def test_unknown_start_is_not_kept_from_work(notices):
    assert notices.accepts_work(START, NOW)
    assert not notices.is_leaving(START, NOW)
    assert notices.get_rest_s(START, NOW) == 0.0


@pytest.mark.parametrize("source", NoticeSource)
def test_leaving_start_is_never_used_again(notices, source):
    assert notices.record_leaving(START, source, NOW)
    for later in (NOW, NOW + 2.0, NOW + 1e6):
        assert notices.is_leaving(START, later)
        assert not notices.accepts_work(START, later)
    assert notices.accepts_work(OTHER_START, NOW)


def test_leaving_holds_for_a_limited_time_from_its_last_notice():
    """Guards against a restart in place that is never used again."""
    notices = UpstreamNotices(max_leaving_s=60.0)
    assert notices.record_leaving(START, NoticeSource.ANSWER, NOW)
    assert not notices.record_leaving(START, NoticeSource.ANSWER, NOW + 50.0)
    assert notices.is_leaving(START, NOW + 109.9)
    assert notices.accepts_work(START, NOW + 110.0)
    assert notices.record_leaving(START, NoticeSource.ANSWER, NOW + 110.0)


def test_limit_of_leaving_neither_lengthens_it_nor_limits_rests():
    notices = UpstreamNotices(max_leaving_s=60.0)
    notices.record_leaving(START, NoticeSource.ANSWER, NOW, for_s=5.0)
    notices.record_rest(OTHER_START, 3600.0, NOW)
    assert notices.accepts_work(START, NOW + 5.0)
    assert not notices.accepts_work(OTHER_START, NOW + 3599.0)


def test_store_does_not_take_back_what_an_answer_said(notices):
    notices.record_leaving(START, NoticeSource.ANSWER, NOW)
    notices.record_leaving(START, NoticeSource.STORE, NOW)
    notices.withdraw_leaving(START, NoticeSource.STORE)
    assert notices.is_leaving(START, NOW)


def test_start_that_the_store_lists_as_ready_again_is_not_left_out(notices):
    notices.record_leaving(START, NoticeSource.STORE, NOW)
    notices.withdraw_leaving(START, NoticeSource.STORE)
    assert notices.accepts_work(START, NOW)


def test_leaving_is_reported_once_for_each_source(notices):
    assert notices.record_leaving(START, NoticeSource.ANSWER, NOW)
    assert not notices.record_leaving(START, NoticeSource.ANSWER, NOW + 1.0)
    assert notices.record_leaving(START, NoticeSource.STORE, NOW + 2.0)


def test_doubtful_notice_does_not_hold_for_ever(notices):
    notices.record_leaving(START, NoticeSource.ANSWER, NOW, for_s=5.0)
    assert not notices.accepts_work(START, NOW + 4.9)
    assert notices.accepts_work(START, NOW + 5.0)


def test_doubtful_notice_does_not_shorten_a_certain_one(notices):
    notices.record_leaving(START, NoticeSource.ANSWER, NOW)
    notices.record_leaving(START, NoticeSource.ANSWER, NOW, for_s=5.0)
    assert notices.is_leaving(START, NOW + 1000.0)


def test_rest_is_neither_cut_short_nor_too_long(notices):
    assert notices.record_rest(START, 3.0, NOW)
    assert notices.get_rest_s(START, NOW + 1.0) == pytest.approx(2.0)
    assert not notices.accepts_work(START, NOW + 2.999)
    assert notices.accepts_work(START, NOW + 3.0)
    assert not notices.is_leaving(START, NOW)


def test_rest_of_no_time_is_no_rest(notices):
    assert not notices.record_rest(START, 0.0, NOW)
    assert notices.accepts_work(START, NOW)
    assert len(notices) == 0


def test_refusals_in_one_burst_are_not_reported_as_new_rests(notices):
    assert notices.record_rest(START, 3.0, NOW)
    assert not notices.record_rest(START, 3.0, NOW + 0.2)
    assert notices.record_rest(START, 30.0, NOW + 0.3)
    assert notices.record_rest(START, 3.0, NOW + 40.0)


rests = st.lists(
    st.tuples(st.floats(0.0, 100.0), st.floats(0.0, 100.0)), min_size=1, max_size=8
)


@given(rests, st.floats(0.0, 250.0))
def test_no_rest_is_shortened_by_another(rests, now):
    notices = UpstreamNotices()
    rests.sort()
    for recorded_at, rest_s in rests:
        notices.record_rest(START, rest_s, recorded_at)
    ends = [recorded_at + rest_s for recorded_at, rest_s in rests if rest_s > 0.0]
    ends_at = max(ends, default=-math.inf)
    assert notices.get_rest_s(START, now) == max(0.0, ends_at - now)
    assert notices.accepts_work(START, now) == (now >= ends_at)


def test_notices_of_an_ended_start_are_dropped(notices):
    notices.record_leaving(START, NoticeSource.ANSWER, NOW)
    notices.record_rest(START, 3.0, NOW)
    notices.drop(START)
    notices.drop(OTHER_START)
    assert notices.accepts_work(START, NOW)
    assert len(notices) == 0


def test_memory_is_bounded_and_past_notices_are_dropped_first():
    notices = UpstreamNotices(max_starts=3)
    notices.record_leaving("leaving", NoticeSource.ANSWER, NOW)
    notices.record_rest("rested", 1.0, NOW)
    notices.record_rest("resting", 10.0, NOW)
    notices.record_rest("new", 10.0, NOW + 2.0)
    assert len(notices) == 3
    assert notices.is_leaving("leaving", NOW + 2.0)
    assert not notices.accepts_work("resting", NOW + 2.0)
    for number in range(10):
        notices.record_leaving(number, NoticeSource.ANSWER, NOW)
    assert len(notices) == 3


def test_renewed_notice_is_not_dropped_for_an_older_one():
    notices = UpstreamNotices(max_starts=2)
    notices.record_rest("a", 1.0, 0.0)
    notices.record_leaving("b", NoticeSource.ANSWER, 0.0)
    notices.record_leaving("a", NoticeSource.ANSWER, 5.0)
    notices.record_leaving("c", NoticeSource.ANSWER, 6.0)
    assert notices.is_leaving("a", 7.0)
    assert not notices.is_leaving("b", 7.0)

"""What upstreams asked of their senders, in the selection of an upstream."""

import math

import pytest

from merlinnotch._notices import NoticeSource
from merlinnotch._peers import ListedUpstream
from merlinnotch._routing import UpstreamTable

LEAVING_TTL_S = 60.0
DAY_S = 86_400.0


def make_listing(name, port=1):
    return ListedUpstream(name, f"10.0.0.1:{port}", "zone-a", "language", False)


@pytest.fixture
def table():
    table = UpstreamTable("zone-a")
    table.replace_listing([make_listing("a"), make_listing("b")])
    return table


def record_leaving(table, name, now, for_s=math.inf):
    start = table.get(name).start
    table.notices.record_leaving(start, NoticeSource.ANSWER, now, for_s)


def find(table, now):
    return [u.listed.id for u in table.find("language", None, now)]


def choose_all(table, now):
    chosen = [table.choose("language", None, now, f"key-{n}") for n in range(20)]
    return {u.listed.id for u in chosen if u is not None}


def test_resting_upstream_is_not_chosen_until_the_rest_ends(table):
    table.notices.record_rest(table.get("a").start, 3.0, 10.0)
    assert find(table, 12.9) == ["b"]
    assert choose_all(table, 12.9) == {"b"}
    assert find(table, 13.0) == ["a", "b"]


def test_resting_upstream_is_not_chosen_in_place_of_ejected_ones(table):
    table.notices.record_rest(table.get("a").start, 3.0, 10.0)
    for _ in range(3):
        table.get("b").record_failure(10.0)
    assert choose_all(table, 10.5) == {"b"}


def test_leaving_upstream_is_not_chosen_while_it_says_so(table):
    for now in range(0, int(DAY_S), 50):
        record_leaving(table, "a", float(now))
        table.replace_listing([make_listing("a"), make_listing("b")])
        assert find(table, now + LEAVING_TTL_S - 0.1) == ["b"]
    assert choose_all(table, now + LEAVING_TTL_S - 0.1) == {"b"}


def test_upstream_that_restarts_in_place_between_listings_is_used_again(table):
    record_leaving(table, "a", 10.0)
    table.replace_listing([make_listing("a"), make_listing("b")])
    assert find(table, 10.0 + LEAVING_TTL_S - 0.1) == ["b"]
    assert find(table, 10.0 + LEAVING_TTL_S) == ["a", "b"]


def test_no_upstream_is_chosen_if_all_leave_or_rest(table):
    record_leaving(table, "a", 10.0)
    table.notices.record_rest(table.get("b").start, 3.0, 10.0)
    assert find(table, 11.0) == []
    assert choose_all(table, 11.0) == set()


def test_resting_upstreams_stay_and_leaving_ones_do_not(table):
    record_leaving(table, "a", 10.0)
    table.notices.record_rest(table.get("b").start, 3.0, 10.0)
    staying = table.list_staying("language", None, 11.0)
    assert [u.listed.id for u in staying] == ["b"]


def test_notices_end_with_a_changed_address(table):
    record_leaving(table, "a", 10.0)
    table.notices.record_rest(table.get("a").start, 100.0, 10.0)
    table.replace_listing([make_listing("a", port=2), make_listing("b")])
    assert find(table, 11.0) == ["a", "b"]
    assert len(table.notices) == 0


def relist(table, name, port=1):
    """Drop an upstream from the listing, and list it again."""
    rows = [u.listed for u in table if u.listed.id != name]
    table.replace_listing(rows)
    assert table.get(name) is None
    table.replace_listing([*rows, make_listing(name, port)])


def test_leaving_upstream_that_is_unlisted_for_a_while_gets_no_requests(table):
    record_leaving(table, "a", 10.0)
    relist(table, "a")
    assert find(table, 10.0 + LEAVING_TTL_S - 0.1) == ["b"]
    assert sorted(find(table, 10.0 + LEAVING_TTL_S)) == ["a", "b"]


def test_resting_upstream_that_is_unlisted_for_a_while_gets_no_requests(table):
    table.notices.record_rest(table.get("a").start, 3.0, 10.0)
    relist(table, "a")
    assert find(table, 12.9) == ["b"]
    assert sorted(find(table, 13.0)) == ["a", "b"]


def test_upstream_that_is_listed_again_at_another_address_is_used(table):
    record_leaving(table, "a", 10.0)
    table.notices.record_rest(table.get("a").start, 100.0, 10.0)
    relist(table, "a", port=2)
    assert sorted(find(table, 11.0)) == ["a", "b"]


def test_notices_hold_while_an_unlisted_upstream_is_in_use(table):
    record_leaving(table, "a", 10.0)
    table.get("a").in_flight = 1
    table.replace_listing([make_listing("b")])
    assert find(table, 11.0) == ["b"]


def test_notice_of_a_peer_holds_for_a_limited_time_and_is_renewed(table):
    assert table.record_leaving("a", 0.0)
    assert not table.record_leaving("a", 50.0)
    assert find(table, LEAVING_TTL_S + 1.0) == ["b"]
    assert find(table, 50.0 + LEAVING_TTL_S) == ["a", "b"]


def test_notice_of_a_peer_does_not_shorten_that_of_an_answer(table):
    record_leaving(table, "a", 5.0)
    assert not table.record_leaving("a", 1.0)
    assert find(table, 5.0 + LEAVING_TTL_S - 0.1) == ["b"]


def test_notice_about_an_unknown_upstream_is_ignored(table):
    assert not table.record_leaving("c", 0.0)
    assert len(table.notices) == 0

"""Choosing an upstream."""

import random

import pytest

from merlinnotch._peers import ListedUpstream, LoadReport
from merlinnotch._routing import UpstreamTable


def row(name, zone="zone-a", pool="language", leaving=False, port=1):
    return ListedUpstream(name, f"10.0.0.1:{port}", zone, pool, leaving)


@pytest.fixture
def table():
    table = UpstreamTable("zone-a", generator=random.Random(1))
    table.replace_listing([row("a1"), row("a2"), row("b1", "zone-b")])
    return table


def report(table, name, running, waiting=0, now=0.0, slots=10):
    table.note_load(name, LoadReport(1, running, waiting, slots), now)


def choose(table, now=0.0, **options):
    chosen = table.choose("language", None, now, **options)
    return chosen.listed.id if chosen else None


def test_own_zone_goes_first_until_it_is_loaded(table):
    for name in ("a1", "a2", "b1"):
        report(table, name, 0)
    assert choose(table) in ("a1", "a2")
    for name in ("a1", "a2"):
        report(table, name, 8)
    assert choose(table) == "b1"


def test_small_difference_does_not_leave_the_zone(table):
    for name in ("a1", "a2"):
        report(table, name, 1)
    report(table, "b1", 0)
    assert choose(table) in ("a1", "a2")


def test_lightest_wins_and_own_work_corrects_lagging_reports(table):
    report(table, "b1", 9)
    report(table, "a1", 1)
    report(table, "a2", 2)
    assert choose(table) == "a1"
    table.get("a1").in_flight += 3
    assert choose(table) == "a2"


def test_leaving_upstream_gets_no_new_work(table):
    assert table.note_leaving("a1", 0.0)
    assert not table.note_leaving("a1", 0.0)
    assert choose(table, 1.0) == "a2"
    table.replace_listing([row("a1"), row("a2", leaving=True)])
    assert choose(table, 1.0) is None


def test_failing_upstream_is_ejected_and_tried_again_later(table):
    upstream = table.get("a1")

    def choose_at(now):
        for name, running in (("a1", 0), ("a2", 3), ("b1", 9)):
            report(table, name, running, now=now)
        return choose(table, now)

    for _ in range(3):
        upstream.note_failure(0.0)
    assert choose_at(0.5) == "a2"
    assert choose_at(2.0) == "a1"
    upstream.note_failure(2.0)
    assert choose_at(3.0) == "a2"


def test_when_all_are_ejected_any_is_better_than_none(table):
    for upstream in table:
        for _ in range(3):
            upstream.note_failure(0.0)
    assert choose(table, 0.1) is not None


def test_full_upstreams_are_not_chosen(table):
    for upstream in table:
        upstream.in_flight = upstream.limit.value
    assert choose(table) is None


def test_versions_that_are_not_loaded_are_passed_over(table):
    table.note_versions("a1", ("swift@v1",))
    table.note_versions("a2", ("swift@v2",))
    table.note_versions("b1", ("swift@v2",))
    assert table.choose("language", "swift@v1", 0.0).listed.id == "a1"
    assert table.choose("language", "swift@v3", 0.0) is None


def test_affinity_yields_to_load(table):
    favourite = choose(table, affinity_key="session-1")
    assert all(choose(table, affinity_key="session-1") == favourite for _ in range(5))
    report(table, favourite, 9)
    assert choose(table, affinity_key="session-1") != favourite


def test_reused_address_starts_anew(table):
    table.get("a1").failures = 2
    table.replace_listing([row("a1", port=2)])
    assert table.get("a1").failures == 0
    assert table.get("a2") is None


def test_unlisted_upstream_stays_until_its_work_is_done(table):
    table.get("a2").in_flight = 1
    table.replace_listing([row("a1")])
    assert table.get("a2") is not None
    assert table.get("b1") is None


def test_old_reports_do_not_draw_all_work_to_one(table):
    report(table, "a1", 0)
    report(table, "a2", 1)
    report(table, "b1", 9)
    assert {choose(table, 0.0) for _ in range(20)} == {"a1"}
    assert {choose(table, 10.0) for _ in range(20)} >= {"a1", "a2"}


def test_reports_stay_of_use_where_requests_take_long(table):
    for _ in range(200):
        table.note_duration(60.0)
    report(table, "a1", 0)
    report(table, "a2", 4)
    report(table, "b1", 9)
    assert {choose(table, 5.0) for _ in range(20)} == {"a1"}


@pytest.mark.parametrize(("unreachable", "expected"), [(True, "a1"), (False, "a2")])
def test_report_ends_the_ejection_of_who_was_unreachable(table, unreachable, expected):
    report(table, "a2", 3)
    report(table, "b1", 9)
    for _ in range(6):
        table.get("a1").note_failure(0.0, unreachable)
    assert choose(table) == "a2"
    report(table, "a1", 0)
    assert choose(table) == expected

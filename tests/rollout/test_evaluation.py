"""Statistical tests of versions by their answers."""

import pytest

from merlinnotch._fleet import RolloutOrder
from merlinnotch._rollout import (
    AnswerCounts,
    LatencyCounts,
    Tally,
    TallyKey,
    VersionHealth,
    assess_health,
    compare_failures,
    find_rejection_reason,
    get_count_route,
    has_more_failures,
    is_slower,
)
from tests.rollout.answers import ORDER, record_answers


@pytest.mark.parametrize(
    ("new", "old", "has_more"),
    [
        (Tally(10, 0), Tally(100, 0), False),
        (Tally(1, 1), Tally(100, 0), False),
        (Tally(4, 3), Tally(100, 0), True),
        (Tally(12, 5), Tally(100, 2), True),
        (Tally(100, 5), Tally(300, 9), False),
        # A fault that affects both versions rejects neither.
        (Tally(20, 8), Tally(200, 80), False),
    ],
)
def test_failures_are_compared_with_the_old_version(new, old, has_more):
    assert has_more_failures(compare_failures(new, old), old) is has_more


@pytest.mark.parametrize(
    ("latency", "slower"),
    [
        (LatencyCounts(10, 2, expected_slow=1.0), False),
        (LatencyCounts(12, 10, expected_slow=1.8), True),
        # Load slows down both versions.
        (LatencyCounts(40, 20, expected_slow=18.0), False),
    ],
)
def test_slow_answers_are_compared_with_the_old_version(latency, slower):
    assert is_slower(latency) is slower


def merge_counts(one, two, order):
    """Merge the counts of *two* into those of *one*."""
    for key, tally in two.tallies.list_local(order):
        one.tallies.merge(key, two.incarnation, tally)


def test_a_version_that_fails_on_one_route_is_rejected():
    counts = AnswerCounts.start("me")
    for route in ("a", "b", "c", "d"):
        record_answers(counts, "v1", route, 200, 2)
        record_answers(counts, "v2", route, 12, 0)
    record_answers(counts, "v2", "d", 8, 6)
    assert "route d" in find_rejection_reason(counts, ORDER)


def test_counts_of_all_instances_are_tested_together():
    one, two = AnswerCounts.start("one"), AnswerCounts.start("two")
    record_answers(one, "v1", "a", 50, 0)
    record_answers(one, "v2", "a", 2, 2)
    record_answers(two, "v2", "a", 3, 2)
    assert find_rejection_reason(one, ORDER) is None
    for _ in range(2):
        merge_counts(one, two, ORDER)
    assert find_rejection_reason(one, ORDER) is not None


def test_repeated_reports_count_once():
    one, two = AnswerCounts.start("one"), AnswerCounts.start("two")
    record_answers(two, "v2", "a", 5, 2)
    for _ in range(3):
        merge_counts(one, two, ORDER)
    assert one.tallies.sum(TallyKey("s", "v2", "a", 7)) == Tally(5, 2)


def test_a_healthy_version_is_seldom_rejected(generator):
    rejected = 0
    for _ in range(200):
        counts = AnswerCounts.start("me")
        for _ in range(120):
            for version in ("v1", "v2"):
                counts.tallies.count(
                    TallyKey("s", version, "a", 7), generator.random() < 0.03
                )
            if find_rejection_reason(counts, ORDER):
                rejected += 1
                break
    assert rejected <= 10


def test_a_bad_version_is_rejected_within_a_few_dozen_answers(generator):
    needed_answers = []
    for _ in range(200):
        counts = AnswerCounts.start("me")
        record_answers(counts, "v1", "a", 100, 2)
        count = 0
        while find_rejection_reason(counts, ORDER) is None:
            counts.tallies.count(TallyKey("s", "v2", "a", 7), generator.random() < 0.35)
            count += 1
        needed_answers.append(count)
    assert sorted(needed_answers)[180] <= 30


def test_counts_of_an_earlier_order_are_ignored():
    one, two = AnswerCounts.start("one"), AnswerCounts.start("two")
    for _ in range(20):
        two.tallies.count(TallyKey("s", "v2", "a", 3), True)
    earlier = RolloutOrder("s", "v2", 20.0, 3)
    merge_counts(one, two, earlier)
    assert find_rejection_reason(one, ORDER) is None
    assert one.tallies.count_answers(ORDER) == 0
    one.delete_before(ORDER)
    assert one.tallies.list_keys(earlier) == []


@pytest.mark.parametrize("background", [0.14, 0.3, 0.5])
@pytest.mark.parametrize("answers", [40, 120])
def test_bad_versions_seldom_look_healthy_while_all_fail(
    generator, background, answers
):
    def looks_healthy():
        counts = AnswerCounts.start("me")
        record_answers(counts, "v1", "a", 500, round(500 * background))
        good_rate = (1 - background) * (1 - 0.4)
        bad = sum(generator.random() >= good_rate for _ in range(answers))
        record_answers(counts, "v2", "a", answers, bad)
        return assess_health(counts, ORDER) is VersionHealth.HEALTHY

    assert sum(looks_healthy() for _ in range(300)) <= 30


@pytest.mark.parametrize(
    ("answers", "bad", "is_rejected"),
    [(62, 39, False), (63, 40, True), (90, 45, False)],
)
def test_bad_answers_are_limited_where_all_versions_fail(answers, bad, is_rejected):
    # Neither 39 of 62 nor 40 of 63 can be told from the background of one half.
    counts = AnswerCounts.start("me")
    record_answers(counts, "v1", "a", 500, 250)
    record_answers(counts, "v2", "a", answers, bad)
    assert (find_rejection_reason(counts, ORDER) is not None) is is_rejected


def test_thousands_of_answers_do_not_overflow():
    # The coefficients of binomials over a thousand trials overflow a float.
    counts = AnswerCounts.start("me")
    record_answers(counts, "v1", "a", 3000, 60)
    record_answers(counts, "v2", "a", 3000, 1200)
    assert find_rejection_reason(counts, ORDER) is not None


@pytest.mark.parametrize(
    ("answers", "bad", "health"),
    [
        (0, 0, VersionHealth.UNKNOWN),
        (4, 0, VersionHealth.UNKNOWN),
        (7, 0, VersionHealth.HEALTHY),
        (7, 1, VersionHealth.SUSPECT),
        (16, 5, VersionHealth.SUSPECT),
        (30, 1, VersionHealth.HEALTHY),
    ],
)
def test_answers_determine_the_health_of_a_version(answers, bad, health):
    counts = AnswerCounts.start("me")
    record_answers(counts, "v1", "a", 200, 1)
    record_answers(counts, "v2", "a", answers, bad)
    assert assess_health(counts, ORDER) is health


def test_faults_on_one_route_make_a_version_suspect():
    counts = AnswerCounts.start("me")
    for route in ("a", "b", "c", "d"):
        record_answers(counts, "v1", route, 200, 2)
        record_answers(
            counts, "v2", route, 3 if route == "d" else 12, 2 if route == "d" else 0
        )
    assert find_rejection_reason(counts, ORDER) is None
    assert assess_health(counts, ORDER) is VersionHealth.SUSPECT


def test_bad_versions_seldom_look_healthy_and_healthy_ones_soon_do(generator):
    def looks_healthy(failure_rate, answers):
        counts = AnswerCounts.start("me")
        record_answers(counts, "v1", "a", 300, 6)
        for _ in range(answers):
            counts.tallies.count(
                TallyKey("s", "v2", "a", 7), generator.random() < failure_rate
            )
        return assess_health(counts, ORDER) is VersionHealth.HEALTHY

    assert sum(looks_healthy(0.4, 16) for _ in range(300)) <= 30
    assert sum(looks_healthy(0.02, 20) for _ in range(300)) >= 270


BUSY = get_count_route("a", 8, 16)


def test_only_upstreams_that_are_half_full_count_as_busy():
    assert BUSY != "a"
    assert get_count_route("a", 7, 16) == "a"
    assert get_count_route("a", None, 16) == "a"


def test_failures_while_busy_reject_a_version_despite_many_good_answers():
    counts = AnswerCounts.start("me")
    for route in ("a", BUSY):
        record_answers(counts, "v1", route, 200, 2)
    record_answers(counts, "v2", "a", 300, 0)
    record_answers(counts, "v2", BUSY, 10, 4)
    assert BUSY in find_rejection_reason(counts, ORDER)


@pytest.mark.parametrize(
    ("old_busy", "new_busy", "is_loaded", "health"),
    [
        (100, 0, True, VersionHealth.UNKNOWN),
        (100, 6, True, VersionHealth.HEALTHY),
        # Canaries that get less traffic than others needn't have been busy.
        (100, 0, False, VersionHealth.HEALTHY),
        # Nor do they if the old version's upstreams are seldom busy.
        (10, 0, True, VersionHealth.HEALTHY),
    ],
)
def test_a_version_must_be_healthy_while_busy_if_the_old_one_is_busy(
    old_busy, new_busy, is_loaded, health
):
    counts = AnswerCounts.start("me")
    record_answers(counts, "v1", "a", 900, 0)
    record_answers(counts, "v1", BUSY, old_busy, 0)
    record_answers(counts, "v2", "a", 40, 0)
    if new_busy:
        record_answers(counts, "v2", BUSY, new_busy, 0)
    assert assess_health(counts, ORDER, is_loaded) is health

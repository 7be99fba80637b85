"""Failures of a new version beside the background of the others."""

import pytest

from merlinnotch._rollout import (
    AnswerCounts,
    FailureCounts,
    Tally,
    VersionHealth,
    assess_health,
    compare_failures,
    find_rejection_reason,
)
from merlinnotch._rollout.failures import combine_rates
from merlinnotch._rollout.windows import WINDOW_S
from tests.rollout.answers import ORDER, record_answers


@pytest.fixture
def counts():
    return AnswerCounts.start("me")


def test_independent_faults_combine_to_less_than_their_sum():
    assert combine_rates(0.5, 0.4) == pytest.approx(0.7)


def test_background_is_expected_of_the_new_version():
    failures = compare_failures(Tally(20, 9), Tally(200, 80))
    assert failures.background == pytest.approx(8.0)
    assert failures.get_lowest_rate(0.5) < 0.7 < failures.get_highest_rate(0.5, 1, 0)


def test_few_answers_of_the_others_show_no_background():
    assert compare_failures(Tally(20, 9), Tally(9, 9)) == FailureCounts(
        unpaired=Tally(20, 9)
    )


def test_version_is_not_judged_by_failures_before_its_own_answers(counts):
    # Summed up, 14 bad of 35 are fewer than the 160 of 300 of the other version.
    counts.advance_windows(ORDER, 0.0, 0.0)
    record_answers(counts, "v1", "a", 200, 160)
    record_answers(counts, "v2", "a", 1, 1)
    counts.advance_windows(ORDER, WINDOW_S, WINDOW_S)
    record_answers(counts, "v1", "a", 100, 0)
    record_answers(counts, "v2", "a", 34, 13)
    assert find_rejection_reason(counts, ORDER) is not None


def test_sound_version_is_not_rejected_for_a_disruption_of_its_own_time(counts):
    # The new version got most of its answers while all versions failed.
    counts.advance_windows(ORDER, 0.0, 0.0)
    record_answers(counts, "v1", "a", 400, 0)
    record_answers(counts, "v2", "a", 10, 0)
    counts.advance_windows(ORDER, WINDOW_S, WINDOW_S)
    record_answers(counts, "v1", "a", 100, 50)
    record_answers(counts, "v2", "a", 40, 20)
    assert find_rejection_reason(counts, ORDER) is None


def test_answers_from_before_a_late_start_show_no_background(counts):
    counts.advance_windows(ORDER, 15.0, 0.0)
    record_answers(counts, "v1", "a", 100, 50)
    record_answers(counts, "v2", "a", 40, 20)
    assert assess_health(counts, ORDER) is VersionHealth.SUSPECT
    assert find_rejection_reason(counts, ORDER) is None


def test_routes_are_compared_with_their_own_background(counts):
    # Most of the new version's answers are on the route that often fails.
    record_answers(counts, "v1", "a", 300, 0)
    record_answers(counts, "v1", "b", 100, 40)
    record_answers(counts, "v2", "a", 5, 0)
    record_answers(counts, "v2", "b", 50, 20)
    assert find_rejection_reason(counts, ORDER) is None
    assert assess_health(counts, ORDER) is VersionHealth.HEALTHY


@pytest.mark.parametrize(
    ("answers", "bad", "health"),
    [
        (2, 0, VersionHealth.HEALTHY),
        (9, 2, VersionHealth.SUSPECT),
        (30, 2, VersionHealth.HEALTHY),
    ],
)
def test_earlier_answers_do_not_outweigh_failures_of_the_last_stage(
    counts, answers, bad, health
):
    counts.advance_windows(ORDER, 0.0, 0.0)
    record_answers(counts, "v1", "a", 300, 60)
    record_answers(counts, "v2", "a", 60, 6)
    counts.advance_windows(ORDER, WINDOW_S, WINDOW_S)
    record_answers(counts, "v2", "a", answers, bad)
    assert assess_health(counts, ORDER) is health

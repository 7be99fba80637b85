"""The version guard, on simulated ratings with fixed seeds."""

import random

import pytest

from merlinnotch._peers import Tally
from merlinnotch._routing import VersionGuard

CELL = ("swift@v3", "match")
SIBLING = ("swift@v2", "match")


def rate(tally, score):
    return tally.add(Tally(1, 0, 1, score, score * score))


class Feed:
    """Feeds a guard one rated answer at a time, as tallies summed so far."""

    def __init__(self, guard, seed):
        self.guard = guard
        self.random = random.Random(seed)
        self.tallies = {}

    def score(self, mean, deviation=0.2):
        return min(1.0, max(0.0, self.random.gauss(mean, deviation)))

    def rate_until_alarm(self, most, mean_of, cell=CELL, siblings=None):
        """Return after how many ratings the alarm came, or None."""
        for number in range(most):
            tally = self.tallies.get(cell, Tally())
            self.tallies[cell] = rate(tally, self.score(mean_of(number)))
            if self.guard.observe(self.tallies, siblings):
                return number + 1
        return None


@pytest.fixture
def make_feed():
    return lambda seed=1: Feed(VersionGuard(), seed)


@pytest.mark.parametrize("seed", range(5))
def test_loss_of_twenty_points_is_found_within_60_ratings(make_feed, seed):
    feed = make_feed(seed)
    assert feed.rate_until_alarm(300, lambda n: 0.85) is None
    assert feed.rate_until_alarm(60, lambda n: 0.65) is not None


@pytest.mark.parametrize("seed", range(3))
def test_slow_decline_is_found(make_feed, seed):
    feed = make_feed(seed)
    assert feed.rate_until_alarm(300, lambda n: 0.85) is None
    found = feed.rate_until_alarm(2000, lambda n: 0.85 - 0.0002 * n)
    assert found is not None


def test_steady_version_raises_no_alarm(make_feed):
    feed = make_feed(3)
    assert feed.rate_until_alarm(10_000, lambda n: 0.8) is None


def test_new_version_is_held_against_its_sibling(make_feed):
    feed = make_feed(4)
    feed.rate_until_alarm(200, lambda n: 0.85, SIBLING)
    siblings = {"swift@v3": "swift@v2"}
    found = feed.rate_until_alarm(60, lambda n: 0.6, CELL, siblings)
    assert found is not None
    assert found < 60


def test_version_bad_for_one_kind_only_is_found(make_feed):
    feed = make_feed(5)
    other = ("swift@v3", "summary")
    feed.rate_until_alarm(200, lambda n: 0.85)
    feed.rate_until_alarm(200, lambda n: 0.85, other)
    assert feed.rate_until_alarm(200, lambda n: 0.85) is None
    assert feed.rate_until_alarm(60, lambda n: 0.6, other) is not None


def test_errors_at_once_are_found_within_20_requests():
    guard = VersionGuard()
    guard.observe({CELL: Tally(answers=500)})
    for errors in range(1, 21):
        if guard.observe({CELL: Tally(answers=500, errors=errors)}):
            break
    assert errors <= 5


def test_rare_errors_raise_no_alarm():
    guard = VersionGuard()
    generator = random.Random(6)
    tally = Tally()
    for _ in range(10_000):
        failed = generator.random() < 0.01
        tally = tally.add(Tally(answers=int(not failed), errors=int(failed)))
        assert guard.observe({CELL: tally}) == []


def test_ratings_that_stop_raise_no_alarm(make_feed):
    feed = make_feed(7)
    feed.rate_until_alarm(100, lambda n: 0.85)
    tally = feed.tallies[CELL]
    for answers in range(1000):
        grown = tally.add(Tally(answers=answers))
        assert feed.guard.observe({CELL: grown}) == []


def test_tallies_that_shrink_raise_no_alarm(make_feed):
    feed = make_feed(8)
    feed.rate_until_alarm(200, lambda n: 0.85)
    assert feed.guard.observe({CELL: Tally(answers=5, rated=5, score_sum=4.0)}) == []


def test_reset_forgets(make_feed):
    feed = make_feed(9)
    feed.rate_until_alarm(300, lambda n: 0.85)
    feed.guard.reset("swift@v3")
    assert feed.rate_until_alarm(100, lambda n: 0.5) is None


def test_tuning_takes_effect_on_what_is_already_watched(make_feed):
    feed = make_feed(10)
    feed.rate_until_alarm(300, lambda n: 0.85)
    feed.guard.tune(0.2, 0.5, 1e-300)
    assert feed.rate_until_alarm(60, lambda n: 0.65) is None
    feed.guard.tune(0.2, 0.5, 1e-4)
    assert feed.rate_until_alarm(60, lambda n: 0.65) is not None

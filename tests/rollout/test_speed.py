"""Answers that come much slower than their like."""

import pytest

from merlinnotch._rollout import SpeedBook


@pytest.fixture
def book():
    book = SpeedBook()
    for number in range(60):
        book.note("kind", 0.03 + 0.0005 * number, is_new=False)
    return book


def test_an_answer_eight_times_slower_is_slow(book):
    assert book.note("kind", 0.32, is_new=True)
    assert not book.note("kind", 0.06, is_new=True)


def test_what_is_new_does_not_change_what_is_usual(book):
    for _ in range(50):
        assert book.note("kind", 0.32, is_new=True)


def test_load_that_slows_all_versions_becomes_usual(book):
    for _ in range(80):
        book.note("kind", 0.3, is_new=False)
    assert not book.note("kind", 0.32, is_new=True)


def test_a_kind_that_was_hardly_seen_says_nothing():
    book = SpeedBook()
    book.note("kind", 0.04, is_new=False)
    assert not book.note("kind", 4.0, is_new=True)


def test_turns_on_a_shared_core_make_no_answer_slow():
    book = SpeedBook()
    for _ in range(60):
        book.note("kind", 0.0025, is_new=False)
    for seconds in (0.0066, 0.0085, 0.0093, 0.0128):
        assert not book.note("kind", seconds, is_new=True)
    assert book.note("kind", 0.03, is_new=True)


def test_gaps_of_streams_are_slow_from_twice_the_usual_ones():
    book = SpeedBook()
    for _ in range(60):
        book.note("gap", 0.021, is_new=False)
    assert not book.note("gap", 0.041, is_new=True)
    assert book.note("gap", 0.044, is_new=True)

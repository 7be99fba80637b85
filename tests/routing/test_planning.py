"""Choosing versions and plans."""

import dataclasses

import pytest

from merlinnotch._errors import ErrorKind, RequestRefused
from merlinnotch._peers import Tally
from merlinnotch._routing import Planner, QualityBook, VersionPicker
from merlinnotch._sessions import Session


@pytest.fixture
def make_picker(catalogue):
    def make_picker(quarantined=(), tallies=None, fresh=True):
        return VersionPicker(catalogue, set(quarantined), tallies or {}, fresh)

    return make_picker


@pytest.fixture
def book():
    return QualityBook()


@pytest.fixture
def plan(catalogue, make_picker, book, team, kind):
    def plan(kind=kind, session=None, chance=1.0, time_left_s=5.0, **options):
        planner = Planner(catalogue, make_picker(), book, options.pop("cascades", True))
        return planner.plan(team, kind, session, "salt", time_left_s, chance)

    return plan


def rated(count, score, target=0.75):
    met = count if score >= target else 0
    return Tally(
        answers=count,
        rated=count,
        score_sum=count * score,
        score_squares=count * (score**2 + 0.01),
        accepted=met,
        accepted_sum=met * score,
    )


def refusal_of(call, *arguments):
    with pytest.raises(RequestRefused) as caught:
        call(*arguments)
    return caught.value.kind


def count_versions(picker, team, model, count=2000):
    picked = [picker.pick(team, model, f"salt-{n}").id for n in range(count)]
    return {version: picked.count(version) / count for version in set(picked)}


def test_new_work_goes_to_serving_and_rolling_out_by_share(make_picker, team, swift):
    shares = count_versions(make_picker(), team, swift)
    assert set(shares) == {"swift@v3", "swift@v4"}
    assert 0.17 < shares["swift@v4"] < 0.23


def test_without_fresh_proof_only_settled_versions_get_work(make_picker, team, swift):
    assert set(count_versions(make_picker(fresh=False), team, swift)) == {"swift@v3"}


def test_quarantined_version_gets_no_work(make_picker, team, swift):
    picker = make_picker(["swift@v4"])
    assert set(count_versions(picker, team, swift)) == {"swift@v3"}
    picker = make_picker(["swift@v3", "swift@v4"])
    assert refusal_of(picker.pick, team, swift, "s") is ErrorKind.VERSION_QUARANTINED


def test_unproven_version_is_capped_until_ratings_come(make_picker, team, swift):
    unrated = {"swift@v4": Tally(answers=60)}
    shares = count_versions(make_picker(tallies=unrated), team, swift)
    assert set(shares) == {"swift@v3"}
    some = {"swift@v4": Tally(answers=60, rated=15)}
    assert "swift@v4" in count_versions(make_picker(tallies=some), team, swift)


def test_team_gets_only_what_it_is_allowed(make_picker, team, swift):
    only = dataclasses.replace(team, allow=frozenset({"swift@v4"}))
    assert refusal_of(make_picker().pick, only, swift, "salt-1") in (
        ErrorKind.VERSION_WITHDRAWN,
        ErrorKind.NOT_ALLOWED,
    )
    none = dataclasses.replace(team, allow=frozenset({"deep"}))
    assert refusal_of(make_picker().pick, none, swift, "s") is ErrorKind.NOT_ALLOWED


@pytest.mark.parametrize(
    ("version", "fresh", "expected"),
    [
        ("swift@v1", True, ErrorKind.VERSION_WITHDRAWN),
        ("swift@v9", True, ErrorKind.VERSION_WITHDRAWN),
        ("swift@v2", True, None),
        ("swift@v2", False, ErrorKind.CONFIGURATION_STALE),
        ("swift@v3", False, None),
    ],
)
def test_pinned_versions(make_picker, team, version, fresh, expected):
    picker = make_picker(fresh=fresh)
    if expected is None:
        assert picker.check_pinned(team, version).id == version
    else:
        assert refusal_of(picker.check_pinned, team, version) is expected


def test_cascade_is_chosen_when_the_cheap_model_often_suffices(plan, book):
    book.replace_tallies({("swift@v3", "match"): rated(200, 0.8)})
    chosen = plan()
    assert chosen.is_cascade
    assert chosen.stages[0].model == "swift"
    assert chosen.quality >= 0.75


def test_large_model_alone_when_the_cheap_one_never_suffices(plan, book):
    cells = {(f"swift@{v}", "match"): rated(200, 0.5) for v in ("v3", "v4")}
    book.replace_tallies(cells)
    assert [version.id for version in plan().stages] == ["deep@v1"]


def test_cheap_model_alone_once_proven(plan, book, kind):
    cells = {(f"swift@{v}", "match"): rated(500, 0.9) for v in ("v3", "v4")}
    book.replace_tallies(cells)
    assert [version.model for version in plan().stages] == ["swift"]


def test_without_judging_no_cascade(plan, book):
    book.replace_tallies({("swift@v3", "match"): rated(200, 0.8)})
    assert not plan(cascades=False).is_cascade


def test_plan_must_fit_the_deadline(plan, book):
    for _ in range(100):
        book.note_answer("deep@v1", "match", 4.0, 100)
        book.note_answer("swift@v3", "match", 0.1, 100)
        book.note_answer("swift@v4", "match", 0.1, 100)
    assert [version.model for version in plan(time_left_s=1.0).stages] == ["swift"]


def test_exploring_tries_the_least_known(plan, book, kind):
    book.replace_tallies({("deep@v1", "match"): rated(500, 0.95)})
    exploring = dataclasses.replace(kind, explore=0.5)
    chosen = plan(kind=exploring, chance=0.1)
    assert chosen.explores
    assert chosen.stages[0].model == "swift"
    assert not plan(kind=exploring, chance=0.9).explores


def test_session_stays_on_its_one_version(plan):
    session = Session("s", "desk", ("swift@v2",))
    assert [version.id for version in plan(session=session).stages] == ["swift@v2"]

"""Replies of the rating service that are not ratings."""

import json
import types

import pytest

from merlinnotch._upstreams.ratings import (
    MAX_CONSECUTIVE_FAILURES,
    Raters,
    RatingsUnavailable,
)

RATING = {"sequence": 1, "version": "swift@v1", "kind": "chat", "score": 0.5}
VERSION = types.SimpleNamespace(id="swift@v1")


@pytest.fixture
def call():
    return types.SimpleNamespace(
        request_id="id-1",
        kind=types.SimpleNamespace(name="chat"),
        body={"messages": []},
    )


@pytest.fixture
def tallies():
    return []


@pytest.fixture
def raters(server, tallies, patient_clients):
    settings = types.SimpleNamespace(ratings_address=server.address, instance="entry")
    recorder = types.SimpleNamespace(
        count=lambda version, kind, tally: tallies.append((version, kind, tally))
    )
    return Raters(settings, recorder, lambda kind: 0.5)


def reply_with(server, status, value):
    server.status, server.body = status, json.dumps(value).encode()


@pytest.mark.parametrize(
    ("status", "value"),
    [
        pytest.param(503, {"error": "down"}, id="error"),
        pytest.param(429, {"error": "limit"}, id="limit"),
        pytest.param(200, [RATING], id="list of ratings"),
    ],
)
def test_service_without_ratings_is_not_healthy(server, raters, call, status, value):
    """Guards against cascades whose answers nobody rates."""
    reply_with(server, status, value)
    scores = [raters.rate(call, VERSION, "x") for _ in range(MAX_CONSECUTIVE_FAILURES)]
    assert scores == [None] * MAX_CONSECUTIVE_FAILURES
    assert not raters.can_rate


@pytest.mark.parametrize(
    ("status", "value"),
    [
        pytest.param(503, {"error": "down"}, id="error"),
        pytest.param(503, [], id="error with a list"),
        pytest.param(200, {"score": 0.5}, id="score"),
    ],
)
def test_failed_poll_does_not_end_the_failures(server, raters, call, status, value):
    reply_with(server, 503, {})
    for _ in range(MAX_CONSECUTIVE_FAILURES):
        raters.rate(call, VERSION, "x")
    reply_with(server, status, value)
    with pytest.raises(RatingsUnavailable):
        raters.run_once()
    assert not raters.can_rate


def test_poll_with_ratings_ends_the_failures(server, raters, call, tallies):
    reply_with(server, 503, {})
    for _ in range(MAX_CONSECUTIVE_FAILURES):
        raters.rate(call, VERSION, "x")
    reply_with(server, 200, [RATING])
    raters.run_once()
    assert raters.can_rate
    assert [row[:2] for row in tallies] == [("swift@v1", "chat")]


@pytest.mark.parametrize(
    "odd",
    [
        None,
        {},
        RATING | {"sequence": 10**400},
        RATING | {"sequence": None},
        RATING | {"score": "good"},
        RATING | {"score": 10**400},
        RATING | {"version": ["a"]},
        RATING | {"kind": "x" * 60_000},
    ],
    ids=lambda odd: str(odd)[:40],
)
def test_odd_rating_leaves_the_others_in_use(server, raters, tallies, odd):
    # The ratings were read from the odd one on again and again.
    reply_with(server, 200, [odd, RATING | {"sequence": 7}])
    raters.run_once()
    assert [version for version, _, _ in tallies] == ["swift@v1"]
    assert raters._last_sequence == 7


@pytest.mark.parametrize("score", ["good", None, [], 10**400, -1, True])
def test_score_that_is_no_score_is_not_used(server, raters, call, score):
    reply_with(server, 200, {"score": score})
    assert raters.rate(call, VERSION, "x") is None

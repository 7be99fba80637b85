"""Which version requests and sessions go to."""

import random

import pytest

from merlinnotch._fleet import RolloutOrder, RolloutState, RolloutStatus, Stage
from merlinnotch._fleet.service_rollout import ServiceRollout
from merlinnotch._rollout import VersionChooser, place_session


@pytest.fixture
def chooser():
    return VersionChooser(random.Random(3))


def rollout(share=None, number=1, state=None):
    order = RolloutOrder("s", "v2", 20.0, 10)
    status = RolloutStatus("s", "v2", state, 12) if state else None
    stage = None if share is None else Stage("s", 10, number, share)
    return ServiceRollout(order, status, stage)


def goes_to(chooser, rollout, session=None):
    accepts = chooser.choose("s", rollout, session)
    return [v for accept in accepts for v in ("v1", "v2") if accept(v)]


def test_before_the_first_stage_nothing_goes_to_the_new_version(chooser):
    assert goes_to(chooser, rollout()) == ["v1"]


def test_the_share_is_kept_exactly(chooser):
    new = sum(goes_to(chooser, rollout(0.1))[0] == "v2" for _ in range(500))
    assert abs(new - 50) <= 1


def test_a_reverted_version_gets_nothing(chooser):
    for share in (0.1, 0.5, 1.0):
        state = rollout(share, 3, RolloutState.REVERTED)
        assert goes_to(chooser, state) == ["v1"]


def test_a_version_convicted_here_gets_nothing_before_the_store_says_so(chooser):
    state = rollout(1.0, 3)
    state.bad_versions.add("v2")
    assert goes_to(chooser, state) == ["v1"]


def test_old_upstreams_that_vanish_leave_the_rest_to_the_new_version(chooser):
    assert goes_to(chooser, rollout(1.0, 3)) == ["v2", "v1"]
    complete = rollout(1.0, 3, RolloutState.COMPLETE)
    assert goes_to(chooser, complete)[0] == "v2"


def make_name(below, above=0.0):
    names = (f"session-{number}" for number in range(10000))
    return next(n for n in names if above <= place_session(n) < below)


def test_every_instance_places_a_session_alike(chooser):
    other = VersionChooser(random.Random(99))
    for number in range(200):
        name = f"session-{number}"
        state = rollout(0.3, 2)
        assert goes_to(chooser, state, name) == goes_to(other, state, name)


def test_no_session_moves_before_the_stage_for_sessions(chooser):
    for number in range(200):
        assert goes_to(chooser, rollout(1.0 - 1e-9), f"session-{number}") == ["v1"]
    name = make_name(0.1)
    assert goes_to(chooser, rollout(0.1, 2), name)[0] == "v2"


def test_sessions_beyond_the_share_stay(chooser):
    name = make_name(0.9, above=0.11)
    assert goes_to(chooser, rollout(0.1, 2), name) == ["v1"]


def test_a_session_on_the_new_version_stays_when_the_share_grows(chooser):
    name = make_name(0.1)
    for stage in (rollout(0.1, 2), rollout(0.5, 2), rollout(1.0, 3)):
        assert goes_to(chooser, stage, name)[0] == "v2"

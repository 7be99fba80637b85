"""What was decided about a rollout holds after the store was restored from a copy."""

import dataclasses

import pytest

from merlinnotch._fleet import RolloutOrder, RolloutState, RolloutStatus, Stage
from merlinnotch._fleet.service_rollout import ServiceRollout
from merlinnotch._store import build_index

NOW = 50.0
LATER = 60.0
ORDER = RolloutOrder("app", "v2", 24.0, 10, era=1)
REWRITTEN = RolloutOrder("app", "v2", 24.0, 8, era=2)
SURVIVING = dataclasses.replace(ORDER, era=2)


def make_status(state, era, revision):
    return RolloutStatus("app", "v2", state, build_index(era, revision))


def make_stage(number, share, era, revision, order=ORDER):
    index = build_index(era, revision)
    return Stage("app", order.index, number, share, age_s=5.0, index=index)


@pytest.fixture
def rollout():
    rollout = ServiceRollout()
    rollout.update(ORDER, NOW)
    rollout.update(make_stage(2, 0.5, 1, 12), NOW)
    return rollout


@pytest.mark.parametrize("order", [SURVIVING, REWRITTEN])
@pytest.mark.parametrize("state", [RolloutState.COMPLETE, RolloutState.REVERTED])
def test_final_state_holds_where_the_copy_lacks_it(rollout, state, order):
    status = make_status(state, 1, 14)
    rollout.update(status, NOW)
    rollout.handle_restore(LATER)
    rollout.lose(status)
    rollout.update(order, LATER)
    assert rollout.state is state
    assert rollout.is_state_unwritten
    rollout.update(make_status(state, 2, 15), LATER)
    assert not rollout.is_state_unwritten


def test_final_state_holds_where_the_copy_has_an_earlier_one(rollout):
    rollout.update(make_status(RolloutState.COMPLETE, 1, 14), NOW)
    rollout.handle_restore(LATER)
    rollout.update(SURVIVING, LATER)
    rollout.update(make_status(RolloutState.ACTIVE, 2, 11), LATER)
    assert rollout.state is RolloutState.COMPLETE
    assert rollout.is_state_unwritten


@pytest.mark.parametrize("order", [SURVIVING, REWRITTEN])
def test_rejected_version_stays_rejected(rollout, order):
    rollout.bad_versions.add("v2")
    rollout.handle_restore(LATER)
    rollout.update(order, LATER)
    assert "v2" in rollout.bad_versions


@pytest.mark.parametrize("order", [SURVIVING, REWRITTEN])
def test_age_of_the_order_goes_on(rollout, order):
    rollout.handle_restore(LATER)
    rollout.update(order, LATER)
    assert rollout.get_order_age_s(LATER) == pytest.approx(15.0)


def test_stage_that_the_copy_lacks_goes_on_and_can_be_written(rollout):
    stage = rollout.stage
    rollout.handle_restore(LATER)
    rollout.lose(stage)
    rollout.update(SURVIVING, LATER)
    assert rollout.current_stage.share == 0.5
    assert rollout.current_stage.index == 0


def test_stage_does_not_go_back_to_that_of_the_copy(rollout):
    rollout.handle_restore(LATER)
    rollout.update(SURVIVING, LATER)
    earlier = make_stage(1, 0.1, 2, 11)
    rollout.update(earlier, LATER)
    assert rollout.current_stage.share == 0.5
    assert rollout.current_stage.index == earlier.index


def test_another_order_begins_anew(rollout):
    rollout.update(make_status(RolloutState.REVERTED, 1, 14), NOW)
    rollout.handle_restore(LATER)
    rollout.update(dataclasses.replace(REWRITTEN, target="v3"), LATER)
    assert rollout.state is RolloutState.ACTIVE
    assert rollout.get_order_age_s(LATER) == 0.0


def test_another_order_of_the_same_revision_has_no_stage(rollout):
    rollout.handle_restore(LATER)
    rollout.update(dataclasses.replace(SURVIVING, target="v3"), LATER)
    assert rollout.current_stage is None


def test_order_that_is_repeated_later_begins_anew(rollout):
    rollout.update(make_status(RolloutState.REVERTED, 1, 14), NOW)
    rollout.handle_restore(LATER)
    rollout.update(SURVIVING, LATER)
    rollout.update(dataclasses.replace(SURVIVING, index=30), LATER)
    assert rollout.state is RolloutState.ACTIVE
    assert "v2" not in rollout.bad_versions

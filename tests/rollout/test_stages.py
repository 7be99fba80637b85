"""Stages and when they are due."""

from merlinnotch._rollout import build_schedule


def test_stages_follow_the_period():
    schedule = build_schedule(0.15)
    assert schedule.find_due(0.0, 20.0).number == 1
    assert schedule.find_due(10.0, 20.0).number == 1
    assert schedule.find_due(12.0, 20.0).number == 2
    assert schedule.find_due(14.0, 20.0).share == 1.0


def test_the_first_stage_keeps_below_the_allowed_exposure():
    assert build_schedule(0.15).first_share < 0.15


def test_a_rollout_is_complete_before_its_period_ends():
    schedule = build_schedule(0.15)
    assert not schedule.is_complete(15.0, 20.0)
    assert schedule.is_complete(18.0, 20.0)

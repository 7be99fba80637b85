"""Short soaks of instance processes, and the reproducibility of fault plans."""

import os
import random

import pytest

from soak.faults import (
    KINDS,
    LIMIT_KINDS,
    NOTICE_KINDS,
    REPEAT_KINDS,
    RESTORE_KINDS,
    plan_all_faults,
    plan_faults,
)
from soak.world import SoakWorld

REGRESSION_SEEDS = {
    # Guards against port conflicts on restart, and against streams that upstreams
    # aborted being attributed to a graceful shutdown.
    108: "exited unexpectedly; aborted by a graceful shutdown",
}
DURATION_S = 8.0


def test_same_seed_gives_same_plan():
    plans = [plan_faults(random.Random(7), 60.0) for _ in range(2)]
    assert plans[0] == plans[1]
    assert plans[0] != plan_faults(random.Random(8), 60.0)


def test_long_plan_contains_every_kind_of_fault():
    plan = plan_faults(random.Random(1), 300.0)
    assert {fault.kind for fault in plan} == set(KINDS)


def test_faults_planned_apart_leave_the_other_faults_of_a_seed_unchanged():
    seeds = (1, "notices 1", "limits 1", "restores 1", "repeats 1")
    generators = [random.Random(seed) for seed in seeds]
    plan = plan_all_faults(*generators, 300.0)
    others = [fault for fault in plan if fault.kind in KINDS]
    assert others == plan_faults(random.Random(1), 300.0)
    apart = {*NOTICE_KINDS, *LIMIT_KINDS, *RESTORE_KINDS, *REPEAT_KINDS}
    assert {fault.kind for fault in plan} == {*KINDS, *apart}
    assert plan == sorted(plan, key=lambda fault: fault.at_s)


@pytest.mark.parametrize("seed", [1, *REGRESSION_SEEDS])
def test_guarantees_hold_under_injected_faults(seed, tmp_path):
    world = SoakWorld(seed, instances=4, folder=tmp_path)
    try:
        violations = world.run(DURATION_S)
    finally:
        world.close()
    assert violations == []
    answered = sum(outcome.status == 200 for outcome in world.history.outcomes)
    assert answered > 100


def test_instance_runs_in_its_own_process_group(tmp_path):
    world = SoakWorld(3, instances=1, folder=tmp_path)
    try:
        instance = world.instances[0]
        instance.start()
        assert os.getpgid(instance.process.pid) != os.getpgrp()
    finally:
        world.close()

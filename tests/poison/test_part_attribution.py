"""Identification of the prompt part that crashes upstreams among others beside it."""

import pytest

from merlinnotch._fleet import UpstreamStart
from merlinnotch._poison import BlockList, Loss, PartAttributor, PartUsage
from merlinnotch._poison.part_attribution import (
    LOSS_RETENTION_S,
    MAX_SUSPECTS,
    MAX_TIED_LOSSES,
)
from merlinnotch._poison.part_evidence import MIN_EARLY_PART_LOSSES

from .part_model import DEADLY, Model, Settings

COMMON = b"common"
OTHER = b"other"
SHORT_RUN_S = 0.08
LONG_RUN_S = 2.0
FIRST_STARTS = range(MIN_EARLY_PART_LOSSES)


def make_start(number):
    return UpstreamStart(f"i-{number}")


@pytest.fixture
def blocked():
    return BlockList()


@pytest.fixture
def attributor(blocked):
    return PartAttributor(blocked)


def record_loss(
    attributor,
    number,
    parts,
    request=None,
    run_time_s=SHORT_RUN_S,
    usages=None,
    now=0.0,
):
    """Record that the upstream *number* was lost by a request with *parts*."""
    fingerprint = request or b"%d %s" % (number, b" ".join(parts))
    loss = Loss(fingerprint, make_start(number), run_time_s, parts)
    attributor.record_loss(loss, usages or [PartUsage.UNUSED] * len(parts), now)


def block_culprits(attributor, now=0.0):
    return [verdict.part for verdict in attributor.block_culprits(now)]


def test_early_losses_of_different_requests_block_their_part(attributor):
    for number in FIRST_STARTS:
        assert block_culprits(attributor) == []
        record_loss(attributor, number, (DEADLY,))
    assert block_culprits(attributor) == [DEADLY]
    assert block_culprits(attributor) == []


def test_losses_of_one_request_block_none_of_its_parts(attributor):
    for number in range(MAX_TIED_LOSSES):
        record_loss(attributor, number, (DEADLY,), b"request")
    assert block_culprits(attributor) == []


def test_part_in_fewer_requests_is_blocked_in_place_of_the_others(attributor):
    for number in FIRST_STARTS:
        record_loss(attributor, number, (COMMON, DEADLY))
        record_loss(attributor, number, (COMMON, b"%d" % number))
    assert block_culprits(attributor) == [DEADLY]


def test_part_with_a_long_run_on_each_upstream_is_not_blocked(attributor):
    for number in FIRST_STARTS:
        record_loss(attributor, number, (COMMON, DEADLY))
        record_loss(attributor, number, (COMMON,), run_time_s=LONG_RUN_S)
    assert block_culprits(attributor) == [DEADLY]


def test_parts_that_always_come_together_are_told_apart_by_later_answers(attributor):
    for number in range(MAX_TIED_LOSSES - 1):
        record_loss(attributor, number, (COMMON, DEADLY))
        assert block_culprits(attributor) == []
    attributor.clear(COMMON)
    assert block_culprits(attributor) == [DEADLY]


def test_of_parts_that_always_come_together_the_deeper_is_blocked_at_last(attributor):
    for number in range(MAX_TIED_LOSSES):
        record_loss(attributor, number, (COMMON, DEADLY))
    assert block_culprits(attributor) == [DEADLY]


def test_part_in_most_requests_is_never_blocked(attributor):
    for number in range(MAX_TIED_LOSSES):
        record_loss(attributor, number, (COMMON,), usages=[PartUsage.COMMON])
    assert block_culprits(attributor) == []


def test_part_that_was_answered_recently_needs_more_losses(attributor):
    for number in range(MIN_EARLY_PART_LOSSES + 1):
        assert block_culprits(attributor) == []
        record_loss(attributor, number, (DEADLY,), usages=[PartUsage.USED])
    assert block_culprits(attributor) == [DEADLY]


def test_part_that_explains_few_of_the_ended_upstreams_is_not_blocked(attributor):
    for number in FIRST_STARTS:
        record_loss(attributor, number, (DEADLY,))
        for other in range(2):
            record_loss(attributor, 100 * (other + 1) + number, (b"%d" % number,))
    assert block_culprits(attributor) == []


def test_upstreams_that_a_blocked_request_crashed_do_not_count_for_a_part(attributor):
    crashed = [make_start(100 + number) for number in range(2 * len(FIRST_STARTS))]
    record_loss(attributor, 0, (DEADLY,))
    for number in range(len(crashed)):
        record_loss(attributor, 100 + number, (b"%d" % number,))
    attributor.attribute(b"request", crashed)
    for number in FIRST_STARTS:
        record_loss(attributor, number, (DEADLY,))
    assert block_culprits(attributor) == [DEADLY]


def test_losses_beside_a_blocked_part_do_not_count_against_others(attributor):
    for number in FIRST_STARTS:
        record_loss(attributor, number, (OTHER, DEADLY))
        record_loss(attributor, number, (OTHER,), run_time_s=0.2)
    assert block_culprits(attributor) == [DEADLY]
    record_loss(attributor, 50, (OTHER,))
    assert block_culprits(attributor) == []


def test_crashes_under_way_when_a_part_is_blocked_do_not_count_against_others(
    attributor,
):
    for number in FIRST_STARTS:
        record_loss(attributor, number, (DEADLY,))
    assert block_culprits(attributor) == [DEADLY]
    for number in range(50, 50 + MIN_EARLY_PART_LOSSES):
        record_loss(attributor, number, (OTHER, DEADLY))
    assert block_culprits(attributor) == []


def test_part_that_explains_more_than_a_blocked_one_acquits_it(attributor, blocked):
    for number in FIRST_STARTS:
        record_loss(attributor, number, (OTHER,), run_time_s=0.05)
        record_loss(attributor, number, (DEADLY,), run_time_s=0.1)
    assert block_culprits(attributor) == [OTHER]
    for number in (50, 51):
        record_loss(attributor, number, (DEADLY,), run_time_s=0.1)
    (verdict,) = attributor.block_culprits(0.0)
    assert verdict.part == DEADLY
    assert verdict.acquitted == (OTHER,)
    assert OTHER not in blocked


def test_unblocked_part_is_blocked_again_by_one_more_loss(attributor, blocked):
    for number in FIRST_STARTS:
        record_loss(attributor, number, (DEADLY,))
    assert block_culprits(attributor) == [DEADLY]
    blocked.remove(DEADLY)
    assert block_culprits(attributor) == []
    record_loss(attributor, 50, (DEADLY,))
    assert block_culprits(attributor) == [DEADLY]


def test_made_up_parts_do_not_displace_a_suspect(attributor):
    *first, last = FIRST_STARTS
    for number in first:
        record_loss(attributor, number, (DEADLY,))
    for number in range(MAX_SUSPECTS):
        record_loss(attributor, 50, (b"made up %d" % number,), b"flood")
    record_loss(attributor, last, (DEADLY,))
    assert block_culprits(attributor) == [DEADLY]


def test_old_losses_are_dropped(attributor):
    *first, last = FIRST_STARTS
    for number in first:
        record_loss(attributor, number, (DEADLY,))
    later = LOSS_RETENTION_S + 1.0
    record_loss(attributor, last, (DEADLY,), now=later)
    assert block_culprits(attributor, later) == []


MAX_LATE = 3
SEEDS = range(10)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "changes",
    [
        {"position": 0, "deadly_share": 0.1},
        {"deadly_share": 0.9},
        {"loss_rate": 0.1},
        {"first_parts": 2, "second_parts": 5},
        {"upstreams": 62, "instances": 65, "requests_per_s": 100.0},
    ],
    ids=str,
)
def test_few_requests_with_a_deadly_part_are_sent_after_the_fifth_crash(changes, seed):
    outcome = Model(Settings(**changes), seed).play(45.0)
    assert outcome.count_late_deadly() <= MAX_LATE
    sound_parts = [k for k in outcome.blocked_at if b"request" not in k and k != DEADLY]
    assert sound_parts == []


@pytest.mark.parametrize("seed", SEEDS)
def test_upstreams_that_end_for_other_reasons_block_no_part(seed):
    settings = Settings(deadly_share=0.0, outage_rate=0.2)
    outcome = Model(settings, seed).play(60.0)
    assert len(outcome.crashed_at) >= 5
    assert [key for key in outcome.blocked_at if b"request" not in key] == []

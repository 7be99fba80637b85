"""How common prompt parts are."""

import pytest

from merlinnotch._poison import PartUsage, PartUsageCounter
from merlinnotch._poison.part_usage import MAX_COUNTED, MIN_COMMON_USES, WINDOW_S

PART = b"part"
OTHER = b"other"


@pytest.fixture
def counter():
    return PartUsageCounter()


def test_part_that_was_not_seen_is_unused(counter):
    counter.record([OTHER], 1.0)
    assert counter.classify(PART, 1.0) is PartUsage.UNUSED


def test_part_of_few_requests_is_used(counter):
    counter.record([PART], 1.0)
    for _ in range(3 * MIN_COMMON_USES):
        counter.record([OTHER], 1.0)
    assert counter.classify(PART, 1.0) is PartUsage.USED


def test_part_of_most_requests_is_common(counter):
    for _ in range(MIN_COMMON_USES):
        counter.record([PART, OTHER], 1.0)
    assert counter.classify(PART, 1.0) is PartUsage.COMMON


def test_uses_are_forgotten_after_the_window(counter):
    counter.record([PART], 1.0)
    assert counter.classify(PART, WINDOW_S / 2) is PartUsage.USED
    assert counter.classify(PART, 1.0 + WINDOW_S) is PartUsage.UNUSED


def test_made_up_parts_do_not_displace_those_in_use(counter):
    counter.record([PART], 1.0)
    for number in range(2 * MAX_COUNTED):
        counter.record([b"%d" % number], 1.0)
    assert counter.classify(PART, 1.0) is PartUsage.USED

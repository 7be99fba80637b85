"""Counting what requests take of the network link."""

import pytest

from standins.platform_upstream import make_answer_script
from tests.platform_world import PLAIN_PATH, Caller, wait_until

BODY = bytes(20000)


def count_bytes(instance):
    return instance.metrics.registry.get_sample_value("merlinnotch_link_bytes_total")


def test_bytes_of_a_request_and_its_response_are_counted(world):
    world.add_upstream("i-1", make_answer_script(bytes(5000)))
    instance = world.add_instance()
    Caller(instance).send(PLAIN_PATH, "POST", BODY)
    wait_until(lambda: count_bytes(instance))
    assert count_bytes(instance) == pytest.approx(25000, abs=1000)

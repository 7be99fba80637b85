"""A prompt part that crashes every upstream that begins to answer a prompt with it.

No two requests with the part are alike, and other requests share the caller and the
other parts.
"""

import itertools
import random

import eventlet
import pytest

from merlinnotch._poison import fingerprint_parts
from tests.platform_world import STREAM_PATH, Caller, wait_until

from .pool import DEADLY_PART, FragilePool, has_deadly_part

POOL_SIZE = 5
MAX_REACHED = 3
"""Limit on the requests with the part that reach upstreams after the fifth crash."""
PROPAGATION_S = 3.0
"""Time after the fifth crash from which the limit counts."""
INTERVAL_S = 0.15
COMMON_PARTS = ("c0ffee01", "c0ffee02")
UPSTREAM_OPTIONS = {"work_s": 0.1, "crash_s": 0.08, "restart_s": 0.6}


class Traffic:
    """Sends requests with the deadly part, and sound ones, to *instances*.

    *position* is the index of the deadly part among three shared parts. *sound* lists
    the statuses of the sound requests, None while there is no answer yet.
    """

    def __init__(self, instances, position, seed=1):
        self._instances = instances
        self._position = position
        self._generator = random.Random(seed)
        self._numbers = itertools.count(1)
        self.sound = []
        self.parts = fingerprint_parts([*COMMON_PARTS, "c0ffee03", DEADLY_PART, ""])

    def send_deadly(self):
        parts = list(COMMON_PARTS)
        parts.insert(self._position, DEADLY_PART)
        return eventlet.spawn(self._send, parts)

    def send_sound(self):
        return eventlet.spawn(self._record_sound)

    def _record_sound(self):
        number = len(self.sound)
        self.sound.append(None)
        self.sound[number] = self._send([*COMMON_PARTS, "c0ffee03"]).status

    def _send(self, shared_parts):
        number = next(self._numbers)
        instance = self._generator.choice(self._instances)
        prefix = ",".join(f"{part}:100" for part in [*shared_parts, f"{number:x}"])
        return Caller(instance).send(
            f"{STREAM_PATH}{number}",
            "POST",
            b"body %d" % number,
            x_attempt_id=f"attempt-{number}",
            x_prompt_prefix=prefix,
        )


@pytest.fixture
def pool(world):
    return FragilePool(
        world, "engines", POOL_SIZE, is_deadly=has_deadly_part, **UPSTREAM_OPTIONS
    )


def start_instances(world, count):
    instances = [world.add_instance(f"instance-{n}") for n in range(count)]
    wait_until(
        lambda: all(
            len(i.view.peers) == count
            and len(i.view.list_upstreams("engines")) == POOL_SIZE
            for i in instances
        )
    )
    return instances


def play(traffic, is_over, limit_s=8.0):
    """Send one deadly and two sound requests at a time until *is_over*."""
    for _ in range(int(limit_s / INTERVAL_S)):
        if is_over():
            return
        traffic.send_deadly()
        traffic.send_sound()
        traffic.send_sound()
        eventlet.sleep(INTERVAL_S)


def play_for(traffic, duration_s):
    play(traffic, lambda: False, duration_s)


@pytest.mark.parametrize("instance_count", [1, 3])
@pytest.mark.parametrize("position", [0, 1, 2])
def test_part_that_crashed_five_upstreams_reaches_few_more(
    world, pool, position, instance_count
):
    traffic = Traffic(start_instances(world, instance_count), position)
    play(traffic, lambda: len(pool.crashed) >= 5)
    play_for(traffic, PROPAGATION_S)
    reached = len(pool.reached)
    play_for(traffic, 25 * INTERVAL_S)
    assert len(pool.reached) - reached <= MAX_REACHED


@pytest.mark.parametrize("position", [0, 1, 2])
def test_requests_without_the_deadly_part_are_served_beside_it(world, pool, position):
    traffic = Traffic(start_instances(world, 3), position)
    play(traffic, lambda: len(pool.crashed) >= 5)
    play_for(traffic, 2 * PROPAGATION_S)
    first = len(traffic.sound)
    play_for(traffic, 20 * INTERVAL_S)
    wait_until(lambda: None not in traffic.sound[first:])
    served = traffic.sound[first:].count(200)
    assert served >= 0.9 * len(traffic.sound[first:])


def test_part_that_was_answered_before_it_turned_deadly_is_blocked(world, pool):
    pool.is_deadly = lambda request: False
    traffic = Traffic(start_instances(world, 3), 1)
    play_for(traffic, 2.0)
    pool.is_deadly = has_deadly_part
    play(traffic, lambda: len(pool.crashed) >= 5)
    play_for(traffic, PROPAGATION_S)
    reached = len(pool.reached)
    play_for(traffic, 25 * INTERVAL_S)
    assert len(pool.reached) - reached <= MAX_REACHED


def test_crashes_of_another_cause_block_no_part(world, pool):
    pool.is_deadly = lambda request: False
    instances = start_instances(world, 3)
    traffic = Traffic(instances, 1)
    for _ in range(12):
        play_for(traffic, 2 * INTERVAL_S)
        alive = sorted(set(world.upstreams) - set(pool.crashed))
        pool.crash(alive[0])
    play_for(traffic, PROPAGATION_S)
    assert not any(part in i.view.blocked for i in instances for part in traffic.parts)

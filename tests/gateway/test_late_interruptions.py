"""Requests that are sent in the turn of the event loop in which they are refused."""

import eventlet
import pytest

from merlinnotch._entry.clock import read_clock
from merlinnotch._poison import fingerprint_parts
from standins.platform_upstream import hang
from tests.gateway.partition import Partition
from tests.platform_world import ONCE_PATH, Caller, wait_until

PROMPT = "aa01:100,bb02:50,cc03:10"
PART = fingerprint_parts(["bb02", ""])[0]


def end_requests(process):
    process.gateway.end_requests()


def block_part(process):
    process.view.blocked.add(PART, read_clock())


def interrupt_before_send(monkeypatch, process, interrupt):
    """Call *interrupt* while a call is due to go on with its open connection."""
    acquire = process.pool.acquire

    def acquire_and_interrupt(*args, **kwargs):
        connection = acquire(*args, **kwargs)
        eventlet.spawn(interrupt, process)
        eventlet.sleep(0)
        return connection

    monkeypatch.setattr(process.pool, "acquire", acquire_and_interrupt)


def count_requests(world):
    return sum(len(upstream.requests) for upstream in world.upstreams.values())


@pytest.mark.parametrize("interrupt", [end_requests, block_part])
def test_request_that_is_sent_before_its_refusal_takes_effect_is_not_called_not_run(
    world, monkeypatch, interrupt
):
    # Guards against an outcome that was decided before the request was sent.
    world.add_upstream("i-1", hang)
    process = world.add_instance()
    interrupt_before_send(monkeypatch, process, interrupt)
    answer = Caller(process).send(ONCE_PATH, "POST", b"x", x_prompt_prefix=PROMPT)
    assert count_requests(world) == 1
    assert answer.status == 502
    assert b"unknown" in answer.body


def test_relayed_request_that_is_sent_as_its_peer_ends_is_not_sent_again(
    world, monkeypatch
):
    # Guards against a second run after a peer that had sent the request.
    world.add_upstream("i-1", hang)
    processes = [world.add_instance(name) for name in ("one", "two", "three")]
    for process in processes:
        wait_until(lambda p=process: len(p.view.list_present_peers()) == 3)
    partitioned, *peers = processes
    Partition(world, partitioned)
    upstream = partitioned.view.find_upstream("i-1")
    partitioned._loads.get(upstream).reachable = False
    for peer in peers:
        interrupt_before_send(monkeypatch, peer, end_requests)
    answer = Caller(partitioned).send(ONCE_PATH, "POST", b"x")
    assert count_requests(world) == 1
    assert answer.status == 502

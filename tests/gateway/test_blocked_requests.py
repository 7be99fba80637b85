"""Requests that are refused because they would crash upstreams."""

import eventlet
import pytest

from merlinnotch._entry.clock import read_clock
from merlinnotch._fleet.records import blocked_key
from merlinnotch._poison import fingerprint_parts
from standins.platform_upstream import hang, make_stream_script
from tests.platform_world import STREAM_PATH, Caller, wait_until

DEADLY_PROMPT = "aa01:100,bb02:50,cc03:10"
SOUND_PROMPT = "aa01:100,dd04:50,cc05:10"
PART = fingerprint_parts(["bb02", ""])[0]


@pytest.fixture
def instance(world):
    world.add_upstream("i-1", make_stream_script(), service="engines")
    return world.add_instance()


def send(instance, prompt):
    return Caller(instance).send(
        STREAM_PATH + "a", "POST", b"body", x_prompt_prefix=prompt
    )


def block(instance):
    instance.view.blocked.add(PART, read_clock())


def test_request_with_a_blocked_part_is_refused_at_once(world, instance):
    block(instance)
    answer = send(instance, DEADLY_PROMPT)
    assert answer.status == 503
    assert b"request_blocked" in answer.body
    assert b"not-run" in answer.body
    assert float(answer.fields["retry-after"]) > 60.0
    assert world.upstreams["i-1"].requests == []
    assert send(instance, SOUND_PROMPT).status == 200


def test_later_started_instance_reads_a_blocked_part_from_the_store(world, instance):
    world.store.put(blocked_key(PART), "")
    later = world.add_instance("later")
    wait_until(lambda: PART in later.view.blocked)
    assert send(later, DEADLY_PROMPT).status == 503
    world.store.delete(blocked_key(PART))
    wait_until(lambda: PART not in later.view.blocked)
    assert send(later, DEADLY_PROMPT).status == 200


def test_requests_that_wait_for_an_upstream_are_abandoned_when_their_part_is_blocked(
    world, instance
):
    upstream = world.upstreams["i-1"]
    upstream.script = hang
    calls = [eventlet.spawn(send, instance, p) for p in (DEADLY_PROMPT, SOUND_PROMPT)]
    wait_until(lambda: len(upstream.requests) == 2)
    block(instance)
    assert calls[0].wait().status == 502
    wait_until(lambda: upstream.disconnect_count == 1)
    # It would be interrupted as well by now.
    assert not calls[1].dead


def test_stream_that_has_begun_goes_on_when_its_part_is_blocked(world, instance):
    upstream = world.upstreams["i-1"]
    upstream.script = make_stream_script(pause_s=0.1)
    call = eventlet.spawn(send, instance, DEADLY_PROMPT)
    wait_until(lambda: upstream.requests)
    eventlet.sleep(0.1)
    block(instance)
    answer = call.wait()
    assert answer.status == 200
    assert answer.is_complete


def test_broken_stream_is_not_resumed_when_its_part_is_blocked(world, instance):
    script = make_stream_script(stop_after=2, pause_s=0.2)
    upstreams = [world.upstreams["i-1"], world.add_upstream("i-2", service="engines")]
    for upstream in upstreams:
        upstream.script = script
    wait_until(lambda: len(instance.view.list_upstreams("engines")) == 2)
    call = eventlet.spawn(send, instance, DEADLY_PROMPT)
    wait_until(lambda: any(upstream.requests for upstream in upstreams))
    eventlet.sleep(0.1)
    block(instance)
    assert not call.wait().is_complete
    assert sum(len(upstream.requests) for upstream in upstreams) == 1

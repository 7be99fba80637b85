"""Graceful shutdown."""

import eventlet

from merlinnotch._entry import process as process_module
from standins.platform_upstream import make_answer, make_stream_script
from tests.platform_world import (
    PLAIN_PATH,
    STREAM_PATH,
    Answer,
    Caller,
    read_to_end,
    wait_until,
)


def test_shutdown_finishes_requests_and_closes_idle_connections(world, monkeypatch):
    monkeypatch.setattr(process_module, "BALANCER_REMOVAL_S", 0.2)

    def slow(request, write):
        eventlet.sleep(0.6)
        write(make_answer(request))
        return True

    world.add_upstream("i-1", slow)
    one = world.add_instance(grace_s=3.0)
    caller = Caller(one)
    idle = caller.open()
    busy = caller.open()
    busy.sendall(caller.encode(PLAIN_PATH, connection=None))
    wait_until(lambda: one.gateway.in_flight == 1)
    eventlet.sleep(0.05)
    shutdown_thread = eventlet.spawn(one.shut_down)
    eventlet.sleep(0.05)
    assert one.respond_ready(None)[0] == 503
    assert caller.send(PLAIN_PATH).status == 200
    answer = Answer(read_to_end(busy))
    assert answer.status == 200
    assert answer.is_complete
    assert read_to_end(idle) == b""
    with eventlet.Timeout(3):
        shutdown_thread.wait()


def test_requests_that_can_not_finish_are_refused_during_shutdown(world, monkeypatch):
    monkeypatch.setattr(process_module, "BALANCER_REMOVAL_S", 0.1)
    upstream = world.add_upstream(
        "i-1", make_stream_script(last=100, pause_s=0.1), service="engines"
    )
    one = world.add_instance(grace_s=2.0)
    caller = Caller(one)
    sock = caller.open()
    sock.sendall(caller.encode(STREAM_PATH, "POST", b"x"))
    wait_until(lambda: one.gateway.in_flight == 1)
    shutdown_thread = eventlet.spawn(one.shut_down)
    eventlet.sleep(0.4)
    request_count = len(upstream.requests)
    refused = caller.send(STREAM_PATH, "POST", b"x")
    assert refused.status == 503
    assert float(refused.fields["retry-after"]) > 0.5
    assert len(upstream.requests) == request_count
    with eventlet.Timeout(3):
        shutdown_thread.wait()
    sock.close()


def test_connection_closes_after_its_current_answer(world, monkeypatch):
    monkeypatch.setattr(process_module, "BALANCER_REMOVAL_S", 0.1)
    world.add_upstream(
        "i-1", make_stream_script(last=4, pause_s=0.1), service="engines"
    )
    one = world.add_instance(grace_s=2.0)
    caller = Caller(one)
    sock = caller.open()
    request = caller.encode(STREAM_PATH, "POST", b"x", connection=None)
    sock.sendall(request)
    wait_until(lambda: one.gateway.in_flight == 1)
    eventlet.sleep(0.05)
    shutdown_thread = eventlet.spawn(one.shut_down)
    data = b""
    while not data.endswith(b"0\r\n\r\n"):
        data += sock.recv(4096)
    sock.sendall(request)
    assert read_to_end(sock) == b""
    shutdown_thread.wait()
    assert sum(len(u.requests) for u in world.upstreams.values()) == 1


def test_long_stream_is_cut_when_the_grace_period_ends(world, monkeypatch):
    monkeypatch.setattr(process_module, "BALANCER_REMOVAL_S", 0.1)
    world.add_upstream(
        "i-1", make_stream_script(last=100, pause_s=0.1), service="engines"
    )
    one = world.add_instance(grace_s=1.2)
    caller = Caller(one)
    sock = caller.open()
    sock.sendall(caller.encode(STREAM_PATH, "POST", b"x"))
    wait_until(lambda: one.gateway.in_flight == 1)
    with eventlet.Timeout(2):
        one.shut_down()
    assert one.gateway.in_flight == 0
    answer = Answer(read_to_end(sock))
    assert answer.status == 200
    assert not answer.is_complete

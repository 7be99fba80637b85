"""Idle connections: waits while the idle timeout changes, and closing at the stop."""

import dataclasses

import eventlet
import pytest

from merlinnotch._errors import ConnectionTimedOut
from merlinnotch._fleet import CallerLimits
from merlinnotch._gateway.idle_connections import wait_for_request
from standins.platform_upstream import make_answer, make_answer_script
from tests.platform_world import PLAIN_PATH, Answer, Caller, read_to_end, wait_until

SHORT_S = 2.0
LONG_S = 10.0


class Scene:
    """A connection on a simulated clock, on which a request begins after a while."""

    def __init__(self, request_at, change_at=None):
        self.now = 0.0
        self._request_at = request_at
        self._change_at = change_at

    def read_clock(self):
        return self.now

    def get_limits(self):
        is_changed = self._change_at is not None and self.now >= self._change_at
        timeout_s = LONG_S if is_changed else SHORT_S
        return dataclasses.replace(CallerLimits(), idle_timeout_s=timeout_s)

    def wait_for_request(self, idle_timeout_s):
        if self._request_at <= self.now + idle_timeout_s:
            self.now = self._request_at
            return True
        self.now += idle_timeout_s
        raise ConnectionTimedOut("idle")

    def wait(self):
        return wait_for_request(self, self.get_limits, self.read_clock)


class HeldScript:
    """A script of an upstream that answers only once it is released."""

    def __init__(self):
        self._released = eventlet.event.Event()

    def __call__(self, request, write):
        self._released.wait()
        write(make_answer(request))
        return True

    def release(self):
        """Let the upstream answer."""
        self._released.send()


def test_wait_ends_at_the_idle_timeout():
    scene = Scene(request_at=SHORT_S + 1.0)
    with pytest.raises(ConnectionTimedOut):
        scene.wait()
    assert scene.now == SHORT_S


def test_idle_connection_is_kept_for_a_timeout_that_became_longer():
    scene = Scene(request_at=LONG_S - 1.0, change_at=1.0)
    assert scene.wait()


def test_longer_timeout_counts_from_the_beginning_of_the_wait():
    scene = Scene(request_at=LONG_S + 1.0, change_at=1.0)
    with pytest.raises(ConnectionTimedOut):
        scene.wait()
    assert scene.now == LONG_S


@pytest.mark.parametrize("is_used", [False, True], ids=["new", "used"])
def test_request_that_arrived_before_idle_connections_are_closed_is_answered(
    world, is_used
):
    # Guards against sending a request whose connection is already shut down.
    world.add_upstream("i-1", make_answer_script())
    instance = world.add_instance()
    caller = Caller(instance)
    request = caller.encode(PLAIN_PATH, "POST", b"", connection=None)
    with caller.open() as sock:
        if is_used:
            sock.sendall(request)
            assert Answer(sock.recv(65536)).status == 200
        wait_until(lambda: instance.gateway._waiting_connections)
        sock.sendall(request)
        instance.gateway.close_idle()
        assert instance.gateway.is_busy
        assert Answer(sock.recv(65536)).status == 200


def test_idle_connections_that_were_closed_do_not_prolong_a_shutdown(world):
    # Guards against a stop that waits for what it has closed itself.
    world.add_upstream("i-1", make_answer_script())
    instance = world.add_instance()
    with Caller(instance).open():
        wait_until(lambda: instance.gateway._waiting_connections)
        instance.gateway.close_idle()
        assert not instance.gateway.is_busy


@pytest.mark.parametrize("count", [1, 2])
def test_requests_read_during_a_response_are_answered_after_the_begin_of_a_shutdown(
    world, count
):
    # Guards against requests that were read ahead and dropped with their connection.
    script = HeldScript()
    world.add_upstream("i-1", script)
    instance = world.add_instance()
    caller = Caller(instance)
    with caller.open() as sock:
        sock.sendall(caller.encode(PLAIN_PATH, connection=None))
        wait_until(lambda: world.upstreams["i-1"].requests)
        later = [caller.encode(PLAIN_PATH, connection=None) for _ in range(count)]
        sock.sendall(b"".join(later))
        eventlet.sleep(0.05)
        instance.gateway.begin_shutdown()
        script.release()
        data = read_to_end(sock)
    assert data.count(b"HTTP/1.1 200") == 1 + count
    assert data.count(b"connection: close") == 1

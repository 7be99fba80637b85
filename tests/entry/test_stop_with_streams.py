"""Graceful stop while streams are under way, in each order of events.

An order is a pair of gaps: the one in which the instance is asked to stop, and the one
in which it begins to refuse long requests. Gap 0 is before the first upstream fails, 1
before the first event of the next upstream, 2 before the rest of the stream, and
AFTER_END after it. Clocks are shifted rather than waited for.
"""

import contextlib
import json
import logging
import signal
import sys
import types

import eventlet
import msgspec
import pytest

from merlinnotch._entry import gateway_parts
from merlinnotch._entry import process as process_module
from merlinnotch._entry.clock import read_clock
from merlinnotch._errors import ConnectFailed, ConnectRefused
from merlinnotch._gateway import reachability
from merlinnotch._http import UpstreamPool
from merlinnotch._limits import SlidingWindowRetryBudget
from standins.platform_upstream import refuse, write_stream
from standins.process import StackProcess
from tests import platform_world
from tests.platform_world import (
    STREAM_PATH,
    Answer,
    Caller,
    World,
    make_routes,
    make_settings,
    wait_until,
)

EVENT_COUNT = 4
BROKEN = 0
GRACE_S = 30.0
TIMEOUT_MS = 60000
"""Longer than the grace period, so that new streams are refused near its end."""
RETRY_WINDOW_S = 1.0
SILENCE_S = 3.0
"""Longer than the limits on the wait for a response head and for the next event."""
PATHS = {attempts: f"/attempts-{attempts}/" for attempts in (1, 2, 3)}
"""Path of the route with each attempt limit."""
CHECKS_PER_PHASE = 2
AFTER_END = 3
ORDERS = [(asked, refusing) for asked in range(3) for refusing in range(asked, 4)]
SHORT_ORDERS = [(0, 0), (0, 1), (0, AFTER_END), (1, 1), (1, AFTER_END)]
"""The orders of a request to which the second upstream sends nothing or all."""
BEFORE_FAILURE = [(0, 0), (0, AFTER_END)]


def encode_event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def encode_events(last):
    return b"".join(encode_event(number) for number in range(1, last + 1))


class SteeredStream:
    """Script of a stream whose events are sent once the test releases them.

    *last_released* is the number of the last event that may be sent.
    """

    def __init__(self, last_released=0):
        self._last_released = last_released
        self._is_broken = False

    def release(self, last=EVENT_COUNT):
        self._last_released = last

    def break_off(self):
        self._is_broken = True

    def __call__(self, request, write):
        first = int(request.fields.get("last-event-id", 0)) + 1
        if not self._wait_for(first):
            return False
        return write_stream(request, write, self._list_events(first), BROKEN)

    def _list_events(self, first):
        for number in range(first, EVENT_COUNT + 1):
            is_whole = self._wait_for(number)
            yield number if is_whole else BROKEN, encode_event(number)
            if not is_whole:
                return

    def _wait_for(self, number):
        while self._last_released < number and not self._is_broken:
            eventlet.sleep(0.005)
        return self._last_released >= number


class CallerStream:
    """A request whose response is read as it arrives, on a connection kept alive."""

    def __init__(self, caller, path, **fields):
        self.data = b""
        self.is_ended = False
        self._sock = caller.open()
        self._sock.settimeout(None)
        fields |= {"connection": None, "x_deadline_ms": str(TIMEOUT_MS)}
        self._request = caller.encode(path, "POST", b"prompt", **fields)
        self._thread = eventlet.spawn(self._read)

    def send(self, start=0, end=None):
        """Send the request, or the bytes of it from *start* to *end*."""
        # The instance may have closed the connection, which the answer shows.
        with contextlib.suppress(OSError):
            self._sock.sendall(self._request[start:end])

    def _read(self):
        with contextlib.suppress(OSError):
            while data := self._sock.recv(65536):
                self.data += data
        self.is_ended = True

    def wait_for_event(self, number):
        wait_until(lambda: encode_event(number) in self.data)

    def wait_for_end(self):
        """Wait until the instance closes the connection; return the answer."""
        wait_until(lambda: self.is_ended)
        return Answer(self.data)

    def close(self):
        self._thread.kill()
        self._sock.close()


class ShiftedClock:
    """The boot clock, *shift_s* ahead."""

    def __init__(self):
        self.shift_s = 0.0

    def __call__(self):
        return read_clock() + self.shift_s


class Stop:
    """A stop of *process* whose phases are begun by the test.

    *grace_clock* is the clock that the grace period is measured with.
    """

    def __init__(self, process, monkeypatch, grace_clock):
        self._process = process
        self._grace_clock = grace_clock
        self._removal_ended = eventlet.event.Event()
        self._refuse_longer_than = process.gateway.refuse_longer_than
        self.is_refusing = False
        self.thread = None
        monkeypatch.setattr(process_module, "eventlet", self)
        monkeypatch.setattr(process.gateway, "refuse_longer_than", self._note_refusing)

    def __getattr__(self, name):
        return getattr(eventlet, name)

    def sleep(self, seconds):
        """Replace the pauses of the process: its removal ends when the test says so."""
        if seconds == process_module.BALANCER_REMOVAL_S:
            self._removal_ended.wait()
        else:
            eventlet.sleep(seconds)

    def _note_refusing(self, until):
        self._refuse_longer_than(until)
        self.is_refusing = True

    def ask(self):
        self.thread = eventlet.spawn(self._process.shut_down)
        wait_until(lambda: self._process.respond_ready(None)[0] == 503)

    def begin_refusing(self):
        self._removal_ended.send(True)
        wait_until(lambda: self.is_refusing)

    def advance(self, order, gap):
        """Begin the phases that *order* has in *gap*."""
        asked, refusing = order
        if asked == gap:
            self.ask()
        if refusing == gap:
            self.begin_refusing()

    def end_grace_period(self):
        self._grace_clock.shift_s += GRACE_S

    def finish(self):
        """Let the process stop; all requests must have ended."""
        if not self.is_refusing:
            self.begin_refusing()
        wait_until(lambda: self.thread.dead)


class Scene:
    """An instance, its upstreams, and streams that have begun at the first one."""

    def __init__(self, world, monkeypatch, log):
        self.world = world
        self.log = log
        self.clock = ShiftedClock()
        self._grace_clock = ShiftedClock()
        self._monkeypatch = monkeypatch
        self._streams = []
        self._scripts = []
        monkeypatch.setattr(platform_world, "POLL_S", 0.002)
        monkeypatch.setattr(gateway_parts, "read_clock", self.clock)
        monkeypatch.setattr(process_module, "read_clock", self.clock)
        monkeypatch.setattr(process_module, "DRAIN_POLL_INTERVAL_S", 0.01)
        monkeypatch.setattr(reachability, "MIN_CHECK_INTERVAL_S", 0.03)
        monkeypatch.setattr(reachability, "CHECK_INTERVAL_SHARE", 0.1)
        monkeypatch.setattr(reachability, "CHECK_TTL_S", 0.0)
        self._configure()
        self.first = self.add_upstream("i-1", SteeredStream())
        self.process = world.add_instance(grace_s=GRACE_S)
        self.caller = Caller(self.process)
        monkeypatch.setattr(process_module, "read_clock", self._grace_clock)
        self.stop = Stop(self.process, monkeypatch, self._grace_clock)

    def _configure(self):
        """Configure a route for each attempt limit, with a long timeout."""
        stream = next(r for r in make_routes() if r["path-prefix"] == STREAM_PATH)
        stream |= {"timeout-ms": TIMEOUT_MS}
        routes = [
            stream
            | {"name": path.strip("/"), "path-prefix": path, "attempts": attempts}
            for attempts, path in PATHS.items()
        ]
        limits = {"max-header-bytes": 4096, "max-body-bytes": 100000}
        limits |= {"header-timeout-ms": TIMEOUT_MS, "idle-timeout-ms": TIMEOUT_MS}
        self.world.configure(routes=routes, limits=limits)

    def add_upstream(self, name, script, **changes):
        if isinstance(script, SteeredStream):
            self._scripts.append(script)
        return self.world.add_upstream(name, script, service="engines", **changes)

    def list_second(self, script=None, is_closed=False, name="i-2", **changes):
        """Add an upstream after the stream has begun at the first; return it."""
        upstream = self.add_upstream(name, script or SteeredStream(), **changes)
        if is_closed:
            upstream.close()
        wait_until(lambda: self._is_listed(upstream))
        return upstream

    def _is_listed(self, upstream):
        listed = self.process.view.list_upstreams("engines")
        return upstream.address in [u.address for u in listed]

    def send(self, attempts=3, end=None, **fields):
        """Send a request, or its bytes to *end*; return its :class:`CallerStream`."""
        stream = CallerStream(self.caller, PATHS[attempts], **fields)
        self._streams.append(stream)
        stream.send(end=end)
        return stream

    def send_to_first(self, attempts=3):
        """Return a request that has arrived at the first upstream."""
        count = len(self.first.requests)
        stream = self.send(attempts)
        wait_until(lambda: len(self.first.requests) == count + 1)
        return stream

    def send_to_either(self):
        """Return a request that has arrived at one of two upstreams, and the other."""
        second = self.list_second()
        stream = self.send()
        wait_until(lambda: self.first.requests or second.requests)
        if second.requests:
            self.first, second = second, self.first
        return stream, second

    def begin(self, attempts=3):
        """Return a stream that has delivered its first event."""
        stream = self.send_to_first(attempts)
        self.first.script.release(1)
        stream.wait_for_event(1)
        return stream

    def limit_retries(self, count):
        granted = []

        def try_acquire(budget, now, min_remaining=0.0):
            if len(granted) + min_remaining >= count:
                return False
            granted.append(now)
            return True

        self._monkeypatch.setattr(SlidingWindowRetryBudget, "try_acquire", try_acquire)

    def block_new_connections(self, error):
        """Let additional connections to upstreams fail, as the checks make them."""
        acquire = UpstreamPool.acquire

        def acquire_unless_new(pool, *arguments, force_new=False):
            if force_new:
                raise error
            return acquire(pool, *arguments)

        self._monkeypatch.setattr(UpstreamPool, "acquire", acquire_unless_new)

    def count_checks(self):
        """Return a list that grows with each check of a silent upstream."""
        check = reachability.ReachabilityChecker.check
        checked = []

        def count(checker, upstream):
            checked.append(upstream)
            return check(checker, upstream)

        self._monkeypatch.setattr(reachability.ReachabilityChecker, "check", count)
        return checked

    def find_ended(self):
        """Return the records of ended requests."""
        return [r for r in self.log.records if r.getMessage() == "request ended"]

    def close(self):
        self.first.close()
        for script in self._scripts:
            script.break_off()
        for stream in self._streams:
            stream.close()
        if self.stop.thread is not None:
            self.stop.thread.kill()


@pytest.fixture
def scene(world, monkeypatch, caplog):
    caplog.set_level(logging.INFO, "merlinnotch")
    scene = Scene(world, monkeypatch, caplog)
    yield scene
    scene.close()


def break_off(scene):
    scene.first.script.break_off()


def crash(scene):
    scene.first.crash()


def fall_silent(scene):
    scene.block_new_connections(ConnectFailed("timed out"))


def fall_silent_for_long(scene):
    fall_silent(scene)
    scene.clock.shift_s += SILENCE_S


def stall(scene):
    scene.clock.shift_s += SILENCE_S


def assert_whole(answer):
    assert answer.status == 200
    assert answer.is_complete
    assert answer.body == encode_events(EVENT_COUNT)


def assert_cut_off(answer, event_count):
    assert answer.status == 200
    assert not answer.is_complete
    assert answer.body == encode_events(event_count)


def assert_refused(answer, statuses):
    assert answer.status in statuses
    assert answer.is_complete
    assert answer.body.startswith(b'{"error"')
    assert ("retry-after" in answer.fields) == (answer.status == 503)


def assert_ended_for(scene, *reasons):
    wait_until(scene.find_ended)
    assert [record.reasons for record in scene.find_ended()] == [list(reasons)]
    assert scene.find_ended()[0].outcome != "answered"


@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize("fail", [break_off, crash, fall_silent, stall])
def test_stream_is_continued_at_another_upstream(scene, fail, order):
    stream = scene.begin()
    second = scene.list_second()
    scene.stop.advance(order, 0)
    fail(scene)
    wait_until(lambda: second.requests)
    scene.stop.advance(order, 1)
    second.script.release(2)
    stream.wait_for_event(2)
    scene.stop.advance(order, 2)
    second.script.release()
    assert_whole(stream.wait_for_end())
    assert [r.fields.get("last-event-id") for r in second.requests] == ["1"]
    assert len(scene.first.requests) == 1
    scene.stop.finish()


@pytest.mark.parametrize("order", ORDERS)
def test_stream_of_a_restarted_upstream_is_continued_at_its_new_start(scene, order):
    stream = scene.begin()
    scene.stop.advance(order, 0)
    second = scene.list_second(name="i-1", born=2000)
    wait_until(lambda: second.requests)
    scene.stop.advance(order, 1)
    second.script.release(2)
    stream.wait_for_event(2)
    scene.stop.advance(order, 2)
    second.script.release()
    assert_whole(stream.wait_for_end())
    scene.stop.finish()


def deny_budget(scene):
    scene.limit_retries(0)
    scene.list_second()


def deny_attempts(scene):
    scene.list_second()


def list_no_other(scene):
    pass


def list_closed(scene):
    scene.list_second(is_closed=True)


def list_refusing(scene):
    scene.list_second(refuse)


DENIALS = [
    (deny_budget, 3, ["no retry budget"]),
    (deny_attempts, 1, ["attempt limit"]),
    (list_no_other, 3, ["no_upstream"]),
    (list_closed, 3, ["unreachable", "no_upstream"]),
    (list_refusing, 3, ["not run", "no_upstream"]),
]


@pytest.mark.parametrize("order", BEFORE_FAILURE)
@pytest.mark.parametrize(("deny", "attempts", "reasons"), DENIALS)
@pytest.mark.parametrize("fail", [break_off, crash, fall_silent_for_long])
def test_stream_without_continuation_is_left_incomplete(
    scene, fail, deny, attempts, reasons, order
):
    stream = scene.begin(attempts)
    deny(scene)
    scene.stop.advance(order, 0)
    assert not stream.is_ended
    fail(scene)
    assert_cut_off(stream.wait_for_end(), 1)
    if fail is fall_silent_for_long and deny is list_closed:
        # The other upstream is connected before the silent one is given up.
        reasons = ["no_upstream"]
    assert_ended_for(scene, "broken", *reasons)
    scene.stop.finish()


@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize(
    ("attempts", "last"), [(3, "no_upstream"), (2, "attempt limit")]
)
def test_stream_whose_continuation_breaks_off_is_left_incomplete(
    scene, attempts, last, order
):
    stream = scene.begin(attempts)
    second = scene.list_second()
    scene.stop.advance(order, 0)
    scene.first.script.break_off()
    wait_until(lambda: second.requests)
    scene.stop.advance(order, 1)
    second.script.release(2)
    stream.wait_for_event(2)
    scene.stop.advance(order, 2)
    second.script.break_off()
    assert_cut_off(stream.wait_for_end(), 2)
    assert_ended_for(scene, "broken", "broken", last)
    scene.stop.finish()


@pytest.mark.parametrize("order", BEFORE_FAILURE)
def test_refused_connections_do_not_use_up_the_last_retry(scene, order):
    scene.limit_retries(1)
    stream = scene.begin()
    for number in range(3, 7):
        scene.add_upstream(f"i-{number}", refuse).close()
    scene.list_second(SteeredStream(EVENT_COUNT))
    wait_until(lambda: len(scene.process.view.list_upstreams("engines")) == 6)
    scene.stop.advance(order, 0)
    scene.first.script.break_off()
    assert_whole(stream.wait_for_end())
    scene.stop.finish()


@pytest.mark.parametrize("order", SHORT_ORDERS)
def test_last_retry_of_the_budget_continues_one_of_several_streams(scene, order):
    streams = [scene.begin() for _ in range(3)]
    scene.limit_retries(1)
    second = scene.list_second()
    scene.stop.advance(order, 0)
    scene.first.script.break_off()
    wait_until(lambda: second.requests and len(scene.find_ended()) == 2)
    scene.stop.advance(order, 1)
    second.script.release()
    answers = [stream.wait_for_end() for stream in streams]
    whole = [answer for answer in answers if answer.is_complete]
    assert len(whole) == 1
    assert_whole(whole[0])
    for answer in answers:
        if answer not in whole:
            assert_cut_off(answer, 1)
    for record in scene.find_ended()[:2]:
        assert record.reasons == ["broken", "no retry budget"]
    scene.stop.finish()


def pause_reachably(scene):
    scene.list_second()


def pause_at_connection_limit(scene):
    scene.list_second()
    scene.block_new_connections(ConnectRefused("full"))


def pause_unreachably_without_budget(scene):
    deny_budget(scene)
    fall_silent(scene)


def pause_unreachably_without_other_upstream(scene):
    fall_silent(scene)


def pause_for_long_without_budget(scene):
    deny_budget(scene)
    stall(scene)


def pause_for_long_without_other_upstream(scene):
    stall(scene)


def pause_while_removed_from_store(scene):
    scene.list_second()
    scene.world.store.delete("servers/i-1")
    wait_until(lambda: scene.process.view.find_upstream("i-1") is None)


PAUSES = [
    pause_reachably,
    pause_at_connection_limit,
    pause_unreachably_without_budget,
    pause_unreachably_without_other_upstream,
    pause_for_long_without_budget,
    pause_for_long_without_other_upstream,
    pause_while_removed_from_store,
]


def pause_through_stop(scene, pause):
    """Return a stream that has paused for several checks in each phase of a stop."""
    stream = scene.begin()
    pause(scene)
    checked = scene.count_checks()
    for begin_phase in (scene.stop.ask, scene.stop.begin_refusing):
        begin_phase()
        count = len(checked) + CHECKS_PER_PHASE
        wait_until(lambda count=count: len(checked) >= count or stream.is_ended)
        assert not stream.is_ended
        assert not scene.stop.thread.dead
    return stream


@pytest.mark.parametrize("pause", PAUSES)
def test_paused_stream_goes_on_during_the_stop(scene, pause):
    stream = pause_through_stop(scene, pause)
    scene.first.script.release()
    assert_whole(stream.wait_for_end())
    assert sum(len(u.requests) for u in scene.world.upstreams.values()) == 1
    scene.stop.finish()


@pytest.mark.parametrize("pause", PAUSES)
def test_paused_stream_is_kept_until_the_grace_period_ends(scene, pause):
    stream = pause_through_stop(scene, pause)
    scene.stop.end_grace_period()
    wait_until(lambda: scene.stop.thread.dead)
    stopped = [r for r in scene.log.records if r.getMessage() == "stopped"]
    assert [record.cut for record in stopped] == [1]
    assert not Answer(stream.data).is_complete


@pytest.mark.parametrize("order", SHORT_ORDERS)
@pytest.mark.parametrize("fail", [break_off, crash, fall_silent, stall])
def test_request_that_has_not_begun_is_answered_by_another_upstream(scene, fail, order):
    stream, second = scene.send_to_either()
    scene.stop.advance(order, 0)
    fail(scene)
    wait_until(lambda: second.requests)
    scene.stop.advance(order, 1)
    second.script.release()
    assert_whole(stream.wait_for_end())
    scene.stop.finish()


@pytest.mark.parametrize("order", BEFORE_FAILURE)
@pytest.mark.parametrize(("deny", "attempts", "reasons"), DENIALS)
@pytest.mark.parametrize("fail", [break_off, crash])
def test_request_that_has_not_begun_is_refused_without_another_attempt(
    scene, fail, deny, attempts, reasons, order
):
    stream = scene.send_to_first(attempts)
    deny(scene)
    scene.stop.advance(order, 0)
    fail(scene)
    assert_refused(stream.wait_for_end(), [502])
    assert_ended_for(scene, "broken", *reasons)
    scene.stop.finish()


@pytest.mark.parametrize("order", BEFORE_FAILURE)
def test_request_of_an_unreachable_upstream_is_refused_without_budget(scene, order):
    scene.limit_retries(0)
    stream, _ = scene.send_to_either()
    scene.stop.advance(order, 0)
    fall_silent_for_long(scene)
    assert_refused(stream.wait_for_end(), [502])
    assert_ended_for(scene, "broken", "no retry budget")
    scene.stop.finish()


def test_request_during_removal_from_the_load_balancer_is_answered(scene):
    scene.first.script.release()
    scene.stop.ask()
    assert_whole(scene.send().wait_for_end())
    scene.stop.finish()


def test_request_that_finds_no_upstream_during_the_stop_is_refused(scene):
    scene.stop.ask()
    scene.first.close()
    assert_refused(scene.send().wait_for_end(), [503])
    assert_ended_for(scene, "unreachable", "no_upstream")
    scene.stop.finish()


def test_request_that_no_upstream_runs_during_the_stop_is_refused(scene):
    scene.stop.ask()
    scene.first.script = refuse
    assert_refused(scene.send().wait_for_end(), [503])
    assert_ended_for(scene, "not run", "no_upstream")
    scene.stop.finish()


def test_request_near_the_end_of_the_grace_period_is_refused(scene):
    stream = scene.begin()
    scene.stop.ask()
    scene.stop.begin_refusing()
    assert_refused(scene.send().wait_for_end(), [503])
    scene.first.script.release()
    assert_whole(stream.wait_for_end())
    assert len(scene.first.requests) == 1
    scene.stop.finish()


def test_request_whose_body_is_arriving_is_answered_or_refused(scene):
    running = scene.begin()
    stream = scene.send(end=-3, expect="100-continue")
    wait_until(lambda: stream.data.endswith(b"\r\n\r\n"))
    stream.data = b""
    scene.stop.ask()
    scene.stop.begin_refusing()
    stream.send(start=-3)
    assert_refused(stream.wait_for_end(), [503])
    scene.first.script.release()
    assert_whole(running.wait_for_end())
    scene.stop.finish()


class KilledProcess:
    """Three requests of a process whose grace period ends before they do.

    One has begun, one has broken off and waits for its continuation at the other
    upstream, and one has not begun. *answers* are by these names, *records* are the
    log.
    """

    def __init__(self, world, folder):
        self._world = world
        self._scripts = {"begun": SteeredStream(1), "broken": SteeredStream(1)}
        self._scripts |= {"not-begun": SteeredStream(), "resumed": SteeredStream()}
        for name in ("i-1", "i-2"):
            world.add_upstream(name, self._respond, service="engines")
        # With this pause goal no paused stream is continued at the other upstream.
        changes = {"timeout-ms": TIMEOUT_MS, "gap-goal-ms": 2000}
        routes = [r | changes for r in make_routes() if r["path-prefix"] == STREAM_PATH]
        world.configure(routes=routes)
        settings = make_settings(world.store.address, "one", 0.2, 3.2)
        retries = msgspec.structs.replace(settings.retries, window_s=RETRY_WINDOW_S)
        self._settings = msgspec.structs.replace(settings, retries=retries)
        path = folder / "settings.toml"
        path.write_text(encode_settings(self._settings))
        self._log_path = folder / "log"
        arguments = ["env", f"MERLINNOTCH_CONFIG={path}", sys.executable]
        arguments += ["-m", "merlinnotch._entry.main"]
        self.process = StackProcess("entry", arguments, self._log_path)
        self.process.start()
        wait_until(self._is_ready, wait_s=10.0)
        # A started process has no share of the retry slack in its first window.
        eventlet.sleep(RETRY_WINDOW_S)

    def _respond(self, request, write):
        name = request.target.removeprefix(STREAM_PATH)
        is_resumed = request.fields.get("last-event-id") is not None
        return self._scripts["resumed" if is_resumed else name](request, write)

    def _is_ready(self):
        caller = self._make_caller()
        caller.address = self._settings.instance.ready_address
        with contextlib.suppress(OSError):
            return caller.send("/").status == 200
        return False

    def _make_caller(self):
        return Caller(types.SimpleNamespace(settings=self._settings))

    def _list_resumed(self):
        requests = [r for u in self._world.upstreams.values() for r in u.requests]
        return [r for r in requests if r.fields.get("last-event-id") is not None]

    def run(self):
        caller = self._make_caller()
        streams = {}
        for name in ("begun", "broken", "not-begun"):
            streams[name] = CallerStream(caller, STREAM_PATH + name)
            streams[name].send()
        for name in ("begun", "broken"):
            streams[name].wait_for_event(1)
        self.process.send(signal.SIGTERM)
        wait_until(lambda: not self._is_ready())
        self._scripts["broken"].break_off()
        wait_until(self._list_resumed)
        wait_until(lambda: not self.process.is_running, wait_s=10.0)
        self.answers = {name: s.wait_for_end() for name, s in streams.items()}
        lines = self._log_path.read_text().splitlines()
        self.records = [json.loads(line) for line in lines if line.startswith("{")]

    def close(self):
        if self.process.is_running:
            self.process.kill()
        for script in self._scripts.values():
            script.break_off()


def encode_settings(settings):
    lines = []
    for name, table in msgspec.to_builtins(settings).items():
        lines.append(f"[{name}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
    return "\n".join(lines)


@pytest.fixture(scope="module")
def killed(tmp_path_factory):
    world = World()
    killed = KilledProcess(world, tmp_path_factory.mktemp("killed"))
    try:
        killed.run()
        yield killed
    finally:
        killed.close()
        world.close()


@pytest.mark.parametrize("name", ["begun", "broken"])
def test_stream_is_left_incomplete_when_the_grace_period_ends(killed, name):
    assert killed.process.wait(0) == 0
    assert_cut_off(killed.answers[name], 1)


def test_request_that_has_not_begun_is_refused_when_the_grace_period_ends(killed):
    assert_refused(killed.answers["not-begun"], [502, 503, 504])


def test_log_names_the_requests_that_the_grace_period_ended(killed):
    ended = {
        record["target"].removeprefix(STREAM_PATH): record["reasons"]
        for record in killed.records
        if record["message"] == "request ended"
    }
    assert sorted(ended) == ["begun", "broken", "not-begun"]
    assert ended["broken"][0] == "broken"

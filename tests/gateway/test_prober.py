"""Probes of upstreams that could not be reached."""

import types
from dataclasses import dataclass

import eventlet
import pytest

from merlinnotch._entry.clock import read_clock
from merlinnotch._errors import ConnectFailed, ConnectRefused
from merlinnotch._fleet import UpstreamStart
from merlinnotch._gateway import Prober
from merlinnotch._gateway.prober import CHECK_PAUSE_S, CONTACT_TTL_S
from merlinnotch._placement import LoadTable
from tests.platform_world import wait_until

SERVICE = "app"
MARKS = 10


class FakePool:
    """Connects to no address in *errors*, which maps them to exceptions."""

    def __init__(self):
        self.errors = {}
        self.connected = []

    def acquire(self, start, address, connect_timeout_s, force_new=False):
        self.connected.append(address)
        if address in self.errors:
            raise self.errors[address]
        return object()

    def release(self, start, connection):
        """Keep nothing."""


@dataclass(frozen=True)
class FakeUpstream:
    id: str
    address: str
    service: str
    start: UpstreamStart


class FakeView:
    """A view of *count* upstreams that accept work."""

    def __init__(self, count):
        self.upstreams = [
            FakeUpstream(
                id=f"i-{number}",
                address=f"address-{number}",
                service=SERVICE,
                start=UpstreamStart(f"i-{number}", 0),
            )
            for number in range(count)
        ]
        self.configuration = types.SimpleNamespace(services={SERVICE: None})

    def list_accepting(self, service, now):
        return self.upstreams

    def accepts_work(self, upstream, now):
        return True

    def find_start(self, start):
        return next((u for u in self.upstreams if u.start == start), None)


@pytest.fixture
def pool():
    return FakePool()


@pytest.fixture
def refused():
    return []


@pytest.fixture
def make_prober(pool, refused):
    def make_prober(count, read_clock=read_clock):
        view = FakeView(count)
        loads = LoadTable(lambda service: None)
        prober = Prober(pool, loads, view, read_clock, refused.append)
        return prober, view.upstreams, loads

    return make_prober


def list_unreachable(upstreams, loads):
    return [u for u in upstreams if not loads.get(u).reachable]


@pytest.mark.parametrize("error", [ConnectFailed("silent"), ConnectRefused("refused")])
@pytest.mark.parametrize("count", [2, 13, 62])
def test_one_failure_shows_that_no_upstream_is_reachable(
    pool, make_prober, error, count
):
    prober, upstreams, loads = make_prober(count)
    pool.errors = {upstream.address: error for upstream in upstreams}
    prober.mark_unreachable(upstreams[0])
    wait_until(lambda: len(list_unreachable(upstreams, loads)) == count)


def test_few_upstreams_are_checked_while_one_fails(pool, make_prober):
    # On a clock of its own, as a busy machine would reach the next check.
    times_s = [100.0]
    prober, upstreams, loads = make_prober(62, lambda: times_s[-1])
    pool.errors = {upstreams[0].address: ConnectFailed("silent")}
    for _ in range(MARKS):
        prober.mark_unreachable(upstreams[0])
        eventlet.sleep(0.01)
        times_s.append(times_s[-1] + 0.9 * CHECK_PAUSE_S / MARKS)
    # The contact that the check made has lapsed by then.
    assert times_s[-2] - times_s[0] > CONTACT_TTL_S
    checked = [a for a in pool.connected if a != upstreams[0].address]
    assert 1 <= len(checked) <= 3
    assert list_unreachable(upstreams, loads) == upstreams[:1]


def test_no_upstream_is_checked_while_others_answer(pool, make_prober):
    prober, upstreams, loads = make_prober(13)
    pool.errors = {upstreams[0].address: ConnectFailed("silent")}
    loads.get(upstreams[1]).contacted_at = read_clock()
    prober.mark_unreachable(upstreams[0])
    eventlet.sleep(0.05)
    assert set(pool.connected) == {upstreams[0].address}


def test_refusal_of_one_upstream_is_reported(pool, make_prober, refused):
    prober, upstreams, loads = make_prober(3)
    pool.errors = {upstreams[0].address: ConnectRefused("refused")}
    prober.mark_unreachable(upstreams[0])
    wait_until(lambda: refused == upstreams[:1])
    assert list_unreachable(upstreams, loads) == upstreams[:1]


def test_refusals_of_all_upstreams_are_not_reported(pool, make_prober, refused):
    prober, upstreams, loads = make_prober(3)
    pool.errors = {u.address: ConnectRefused("refused") for u in upstreams}
    prober.mark_unreachable(upstreams[0])
    wait_until(lambda: len(list_unreachable(upstreams, loads)) == 3)
    eventlet.sleep(0.6)
    assert refused == []

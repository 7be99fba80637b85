"""Detection of requests that crash upstreams, across instances."""

import eventlet
import pytest

from merlinnotch._entry import crash_detector
from merlinnotch._entry.crash_detector import (
    FIRST_EXPIRY_LEAD_S,
    MAX_EVALUATORS,
    CrashDetector,
)
from merlinnotch._entry.datagrams import MessageKind
from merlinnotch._errors import StoreUnavailable
from merlinnotch._fleet import PeerAddress, Upstream, UpstreamStart
from merlinnotch._fleet.records import blocked_key
from merlinnotch._fleet.view import FleetView
from merlinnotch._poison import BLOCK_S
from merlinnotch._poison.part_evidence import MIN_EARLY_PART_LOSSES
from merlinnotch._store import Item, Listing
from tests.platform_world import Caller, wait_until
from tests.poison.pool import POISON, FragilePool

CULPRIT = b"c" * 12
STREAM_PATH = "/stream/"


class FakeTransport:
    """Delivers messages within a fleet, except from and to *unreachable* instances."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name
        self.handlers = {}

    def handle(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, kind, body, addresses):
        self._fleet.sent.append(kind)
        for address in addresses:
            name = address.partition(":")[0]
            if not {name, self._name} & self._fleet.unreachable:
                self._fleet.transports[name].handlers[kind](body)
        return True


class FakeStore:
    """Stores keys; the first *failures* writes fail."""

    def __init__(self):
        self.keys = set()
        self.failures = 0

    def put(self, key, value):
        if self.failures:
            self.failures -= 1
            raise StoreUnavailable("unavailable")
        self.keys.add(key)

    def read(self, key):
        found = (Item(key, b"", 7),) if key in self.keys else ()
        return Listing(found, 7)

    def delete(self, key, modify_index):
        self.keys.remove(key)


class Fleet:
    """Crash detectors of several instances on a clock that tests set."""

    def __init__(self, count):
        self.now = 100.0
        self.unreachable = set()
        self.sent = []
        self.transports = {}
        self.views = {}
        self.detectors = {}
        self.store = FakeStore()
        names = [f"n-{number}" for number in range(count)]
        for name in names:
            view = FleetView(lambda *item: None)
            for other in names:
                view.peer_directory.mark_present(PeerAddress(other, "a", f"{other}:1"))
            transport = FakeTransport(self, name)
            self.transports[name] = transport
            self.views[name] = view
            self.detectors[name] = CrashDetector(
                transport, self.store, view, name, lambda: self.now
            )

    def crash_upstream(self, name, upstream_id, fingerprint=CULPRIT):
        """Run a request of instance *name* at an upstream that ends at once."""
        detector = self.detectors[name]
        upstream = Upstream(upstream_id, "engines", "h:1", "a", "v1", 4)
        run = detector.runs.open(fingerprint, upstream.start)
        run.begun_at = self.now
        detector.record_connection_lost(run)
        detector.record_connection_refused(upstream)

    def answer(self, name, fingerprint):
        """Record a complete answer to a request of instance *name*."""
        detector = self.detectors[name]
        detector.record_answered(detector.runs.open(fingerprint, UpstreamStart("i-9")))

    def evaluate(self):
        """Evaluate suspects on all instances."""
        for detector in self.detectors.values():
            detector._block_crashing_requests(self.now)
        eventlet.sleep(0)

    def list_blocking_instances(self):
        return {name for name, view in self.views.items() if CULPRIT in view.blocked}


@pytest.fixture
def fleet():
    return Fleet(12)


def test_losses_of_several_instances_add_up_to_a_block_on_all(fleet):
    for number in range(3):
        fleet.evaluate()
        assert fleet.list_blocking_instances() == set()
        fleet.crash_upstream(f"n-{number}", f"i-{number}")
    fleet.evaluate()
    assert fleet.list_blocking_instances() == set(fleet.views)
    wait_until(lambda: fleet.store.keys == {blocked_key(CULPRIT)})


def block_culprit(fleet):
    for number in range(3):
        fleet.crash_upstream("n-0", f"i-{number}")
    fleet.evaluate()


def open_run(fleet, name, upstream_id):
    """Return a request's run that has just begun, and its upstream."""
    upstream = Upstream(upstream_id, "engines", "h:1", "a", "v1", 4)
    run = fleet.detectors[name].runs.open(CULPRIT, upstream.start)
    run.begun_at = fleet.now
    return run, upstream


def test_request_is_not_blocked_while_upstreams_at_their_limit_still_run_it(fleet):
    for number in range(3):
        _, upstream = open_run(fleet, "n-0", f"i-{number}")
        fleet.detectors["n-0"].record_connection_refused(upstream)
    fleet.evaluate()
    assert fleet.list_blocking_instances() == set()


def test_request_is_not_blocked_by_reports_on_upstreams_that_still_run_it(fleet):
    for number in range(3):
        for name in fleet.detectors.keys() - {"n-1"}:
            open_run(fleet, name, f"i-{number}")
        fleet.crash_upstream("n-1", f"i-{number}", b"%d" % number * 12)
    fleet.evaluate()
    assert fleet.list_blocking_instances() == set()


def test_run_that_is_lost_after_the_first_refusal_is_reported_at_the_next(fleet):
    detector = fleet.detectors["n-0"]
    for number in range(3):
        run, upstream = open_run(fleet, "n-0", f"i-{number}")
        detector.record_connection_refused(upstream)
        detector.record_connection_lost(run)
        detector.record_connection_refused(upstream)
    fleet.evaluate()
    assert fleet.list_blocking_instances() == set(fleet.views)


def test_culprit_is_blocked_while_half_of_the_fleet_is_unreachable(fleet):
    fleet.unreachable = {f"n-{number}" for number in range(6)}
    for number in range(3):
        fleet.crash_upstream(f"n-{6 + number}", f"i-{number}")
    fleet.evaluate()
    assert fleet.list_blocking_instances() == {f"n-{number}" for number in range(6, 12)}


def test_abandoned_run_counts_as_lost_when_others_report_the_upstream(fleet):
    # The instance that abandoned the run has no broken connection to show the loss.
    for number in range(3):
        run = fleet.detectors["n-0"].runs.open(CULPRIT, UpstreamStart(f"i-{number}"))
        run.begun_at = fleet.now
        fleet.detectors["n-0"].record_abandoned(run)
        fleet.now += 0.1
        fleet.crash_upstream(
            f"n-{5 + number}", f"i-{number}", b"bystander-%d " % number
        )
    fleet.evaluate()
    assert fleet.list_blocking_instances() == set(fleet.views)


def test_another_evaluator_stores_the_block_if_the_first_does_not(fleet, monkeypatch):
    monkeypatch.setattr("merlinnotch._entry.crash_detector.WRITE_RETRY_DELAY_S", 0.01)
    for number in range(3):
        fleet.crash_upstream("n-0", f"i-{number}")
    first = next(
        detector
        for detector in fleet.detectors.values()
        if detector._rank_evaluators()[0] == detector._name
    )
    first._writer.write = lambda fingerprint, delay_s=0.0: None
    first._block_crashing_requests(fleet.now)
    wait_until(lambda: fleet.store.keys)


def test_common_request_is_not_blocked_for_losses_beside_a_culprit(fleet):
    # Losses of identical requests from many callers must not add up as if one request
    # had met them all: each has been answered completely before.
    for name in fleet.views:
        fleet.answer(name, b"alike")
    fleet.now += 5.0
    for number in range(3):
        fleet.crash_upstream(f"n-{number}", f"i-{number}", b"alike")
        fleet.crash_upstream(f"n-{number + 3}", f"i-{number}")
        fleet.now += 0.2
    fleet.evaluate()
    assert fleet.list_blocking_instances() == set(fleet.views)
    assert not any(b"alike" in view.blocked for view in fleet.views.values())


def test_complete_answer_unblocks_a_request_on_all_instances(fleet):
    detector = fleet.detectors["n-4"]
    run = detector.runs.open(CULPRIT, UpstreamStart("i-9"))
    for number in range(3):
        fleet.crash_upstream(f"n-{number}", f"i-{number}")
    fleet.evaluate()
    assert fleet.list_blocking_instances() == set(fleet.views)
    detector.record_answered(run)
    assert fleet.list_blocking_instances() == set()
    wait_until(lambda: not fleet.store.keys)


def test_old_answer_does_not_prevent_a_block(fleet):
    # The upstreams' software may have changed since.
    for name in fleet.views:
        fleet.answer(name, CULPRIT)
    fleet.now += crash_detector.ANSWER_VALIDITY_S + 1.0
    for number in range(3):
        fleet.crash_upstream(f"n-{number}", f"i-{number}")
    fleet.evaluate()
    assert fleet.list_blocking_instances() == set(fleet.views)


def test_one_message_to_the_evaluators_per_ended_upstream(fleet):
    fleet.crash_upstream("n-0", "i-0")
    assert fleet.sent == [MessageKind.LOSSES]
    assert len(fleet.detectors["n-0"]._list_evaluator_addresses()) <= MAX_EVALUATORS


def test_answer_on_another_instance_clears_a_suspect(fleet):
    fleet.crash_upstream("n-0", "i-0")
    fleet.crash_upstream("n-1", "i-1")
    detector = fleet.detectors["n-1"]
    detector.record_answered(
        detector.runs.open(CULPRIT, Upstream("i-9", "", "", "", "", 1))
    )
    fleet.crash_upstream("n-2", "i-2")
    fleet.evaluate()
    assert fleet.list_blocking_instances() == set()


def test_block_is_written_until_the_store_accepts_it(fleet, monkeypatch):
    monkeypatch.setattr("merlinnotch._entry.block_writer.WRITE_RETRY_DELAY_S", 0.01)
    fleet.store.failures = 3 * MAX_EVALUATORS
    for number in range(3):
        fleet.crash_upstream("n-0", f"i-{number}")
    fleet.evaluate()
    wait_until(lambda: fleet.store.keys)


def sweep(fleet):
    for detector in fleet.detectors.values():
        detector._writer.delete = lambda fingerprint: None
        detector.sweep(fleet.now)


def test_block_ends_on_one_instance_first_then_on_all(fleet):
    block_culprit(fleet)
    fleet.now += BLOCK_S
    sweep(fleet)
    assert len(fleet.list_blocking_instances()) == len(fleet.views) - 1
    fleet.now += FIRST_EXPIRY_LEAD_S
    sweep(fleet)
    assert fleet.list_blocking_instances() == set()
    fleet.evaluate()
    assert fleet.list_blocking_instances() == set()
    fleet.crash_upstream("n-4", "i-9")
    fleet.evaluate()
    assert fleet.list_blocking_instances() == set(fleet.views)


def test_crash_on_the_instance_where_a_block_ends_first_renews_it_on_all(fleet):
    block_culprit(fleet)
    fleet.now += BLOCK_S
    sweep(fleet)
    (first,) = fleet.views.keys() - fleet.list_blocking_instances()
    fleet.crash_upstream(first, "i-9")
    fleet.evaluate()
    assert fleet.list_blocking_instances() == set(fleet.views)
    fleet.now += BLOCK_S - 1.0
    sweep(fleet)
    assert fleet.list_blocking_instances() == set(fleet.views)


@pytest.mark.parametrize("number", range(12))
def test_restarted_instance_learns_of_a_block_while_the_store_is_unavailable(
    fleet, number
):
    fleet.store.failures = 10**6
    block_culprit(fleet)
    fleet.views[f"n-{number}"].blocked.remove(CULPRIT)
    sweep(fleet)
    assert fleet.list_blocking_instances() == set(fleet.views)


def test_stored_block_is_not_announced_again(fleet):
    block_culprit(fleet)
    for view in fleet.views.values():
        view.blocked.mark_stored(CULPRIT)
    fleet.sent.clear()
    sweep(fleet)
    assert fleet.sent == []


def test_one_more_crash_after_the_block_of_a_part_has_ended_renews_it(fleet):
    block_part(fleet)
    fleet.now += BLOCK_S
    sweep(fleet)
    (first,) = fleet.views.keys() - list_blocking_part(fleet)
    crash_with_part(fleet, first, 99)
    fleet.evaluate()
    assert list_blocking_part(fleet) == set(fleet.views)


def send(process, body=POISON):
    return Caller(process).send(STREAM_PATH + "a", "POST", body)


def block_crashing_request(world, one):
    """Send the crashing request until it is blocked; return the upstream pool."""
    pool = FragilePool(world, "engines")
    wait_until(lambda: len(one.view.list_upstreams("engines")) == 4)
    send(one)
    wait_until(lambda: len(one.view.blocked) == 1)
    wait_until(lambda: any("blocked" in key for key in one.mirror.items))
    wait_until(lambda: len(one.view.list_upstreams("engines")) == 4)
    return pool


def test_later_started_instance_reads_the_block_from_the_store(world):
    world.add_upstream("i-0")
    one = world.add_instance("one")
    pool = block_crashing_request(world, one)
    second = world.add_instance("later")
    wait_until(lambda: len(second.view.blocked) == 1)
    response = send(second)
    assert response.status == 503
    assert b"request_blocked" in response.body
    assert b"not-run" in response.body
    # The response gives the duration of the block.
    assert float(response.fields["retry-after"]) > 60.0
    assert len(pool.reached) == 3


def test_deleting_the_key_lifts_the_block(world):
    world.add_upstream("i-0")
    one = world.add_instance("one")
    pool = block_crashing_request(world, one)
    key = next(key for key in world.store.items if "blocked" in key)
    world.store.delete(key)
    wait_until(lambda: not len(one.view.blocked))
    send(one)
    assert len(pool.reached) > 3
    # One more crash blocks the request again.
    wait_until(lambda: len(one.view.blocked) == 1)


def test_streams_lost_beside_the_culprit_are_served_again(
    world,
):
    world.add_upstream("i-0")
    one = world.add_instance("one")
    pool = FragilePool(world, "engines", work_s=0.15)
    wait_until(lambda: len(one.view.list_upstreams("engines")) == 4)
    bystanders = [b"bystander %d" % number for number in range(8)]
    calls = [eventlet.spawn(send, one, body) for body in bystanders]
    eventlet.sleep(0.2)
    # Streams that break together exhaust the retry budget.
    while len(pool.reached) < 3:
        send(one)
    for call in calls:
        call.wait()
    wait_until(lambda: len(one.view.blocked) == 1)
    wait_until(lambda: len(one.view.list_upstreams("engines")) == 4)
    assert [send(one, body).is_complete for body in bystanders] == [True] * 8
    assert len(one.view.blocked) == 1


PART = b"p" * 12


def crash_with_part(fleet, name, number):
    """Lose the upstream *number* by a request of instance *name* with the part."""
    detector = fleet.detectors[name]
    upstream = Upstream(f"i-{number}", "engines", "h:1", "a", "v1", 4)
    run = detector.runs.open(b"request %d   " % number, upstream.start, (PART,))
    run.begun_at = fleet.now
    detector.record_connection_lost(run)
    detector.record_connection_refused(upstream)


def block_part(fleet):
    for number in range(MIN_EARLY_PART_LOSSES):
        crash_with_part(fleet, f"n-{number}", number)
    fleet.evaluate()


def list_blocking_part(fleet):
    return {name for name, view in fleet.views.items() if PART in view.blocked}


def test_losses_of_different_requests_with_one_part_block_it_on_all(fleet):
    block_part(fleet)
    assert list_blocking_part(fleet) == set(fleet.views)
    assert fleet.list_blocking_instances() == set()
    wait_until(lambda: fleet.store.keys == {blocked_key(PART)})


def test_answer_that_began_after_the_first_loss_clears_a_part(fleet):
    crash_with_part(fleet, "n-0", 50)
    fleet.now += 1.0
    detector = fleet.detectors["n-0"]
    run = detector.runs.open(b"sound", UpstreamStart("i-99"), (PART,))
    run.begun_at = fleet.now
    detector.record_answered(run)
    fleet.now += 1.0
    for number in range(MIN_EARLY_PART_LOSSES - 1):
        crash_with_part(fleet, f"n-{number}", number)
    fleet.evaluate()
    assert list_blocking_part(fleet) == set()


def test_run_under_way_that_survives_lifts_the_block_of_its_part(fleet):
    crash_with_part(fleet, "n-0", 50)
    fleet.now += 0.1
    detector = fleet.detectors["n-0"]
    run = detector.runs.open(b"sound", UpstreamStart("i-99"), (PART,))
    run.begun_at = fleet.now
    block_part(fleet)
    assert list_blocking_part(fleet) == set(fleet.views)
    fleet.now += 1.0
    detector.record_answered(run)
    assert list_blocking_part(fleet) == set()
    wait_until(lambda: not fleet.store.keys)


def test_run_from_before_the_first_loss_does_not_lift_the_block(fleet):
    detector = fleet.detectors["n-0"]
    run = detector.runs.open(b"sound", UpstreamStart("i-99"), (PART,))
    run.begun_at = fleet.now
    fleet.now += 1.0
    block_part(fleet)
    detector.record_answered(run)
    assert list_blocking_part(fleet) == set(fleet.views)

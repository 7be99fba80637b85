"""Admission of requests while upstreams leave or rest."""

import time

import eventlet
import pytest

from merlinnotch._errors import ErrorKind, RequestRefused
from merlinnotch._notices import NoticeSource
from merlinnotch._peers import ListedUpstream
from merlinnotch._routing import UpstreamTable
from merlinnotch._upstreams.admission import Admission, AdmissionRequest

QUEUE_LIMIT = 10
TEST_TIMEOUT_S = 5.0


def make_request(deadline_s=5.0, exclude=()):
    start_deadline = time.monotonic() + deadline_s
    return AdmissionRequest(
        "team", 1.0, 5, "language", None, "", frozenset(exclude), start_deadline
    )


@pytest.fixture
def table():
    table = UpstreamTable("zone-a")
    table.replace_listing(
        [
            ListedUpstream(name, f"10.0.0.{name}:1", "zone-a", "language", False)
            for name in ("1", "2")
        ]
    )
    return table


@pytest.fixture
def admission(table):
    with eventlet.Timeout(TEST_TIMEOUT_S):
        yield Admission(table, QUEUE_LIMIT)


def rest(table, name, rest_s):
    table.notices.record_rest(table.get(name).start, rest_s, time.monotonic())


def leave(table, name):
    start = table.get(name).start
    table.notices.record_leaving(start, NoticeSource.ANSWER, time.monotonic())


def fill(table):
    for upstream in table:
        upstream.in_flight = upstream.limit.value


def queue(admission, *requests):
    """Return the green threads of *requests*, which wait in the queue."""

    def acquire(request):
        try:
            return admission.acquire(request)
        except RequestRefused as refusal:
            return refusal

    threads = [eventlet.spawn(acquire, request) for request in requests]
    eventlet.sleep(0.01)
    return threads


def test_callers_are_refused_at_once_if_all_upstreams_rest(table, admission):
    rest(table, "1", 9.0)
    rest(table, "2", 3.0)
    refused_at = time.monotonic()
    with pytest.raises(RequestRefused) as refusal:
        admission.acquire(make_request())
    assert refusal.value.kind is ErrorKind.UPSTREAMS_RESTING
    assert time.monotonic() - refused_at < 1.0
    assert 2.5 < refusal.value.retry_after_s <= 3.0


def test_rest_of_a_leaving_upstream_is_not_named(table, admission):
    rest(table, "1", 1.0)
    leave(table, "1")
    rest(table, "2", 9.0)
    with pytest.raises(RequestRefused) as refusal:
        admission.acquire(make_request())
    assert refusal.value.kind is ErrorKind.UPSTREAMS_RESTING
    assert refusal.value.retry_after_s > 8.0


def test_excluded_upstreams_that_rest_are_named(table, admission):
    rest(table, "1", 3.0)
    rest(table, "2", 9.0)
    with pytest.raises(RequestRefused) as refusal:
        admission.acquire(make_request(exclude=("1", "2")))
    assert refusal.value.kind is ErrorKind.UPSTREAMS_RESTING
    assert refusal.value.retry_after_s <= 3.0


def test_rest_is_not_the_reason_if_another_upstream_was_excluded(table, admission):
    rest(table, "1", 3.0)
    with pytest.raises(RequestRefused) as refusal:
        admission.acquire(make_request(exclude=("2",)))
    assert refusal.value.kind is ErrorKind.NO_UPSTREAM


def test_callers_are_refused_at_once_if_all_upstreams_leave(table, admission):
    leave(table, "1")
    leave(table, "2")
    with pytest.raises(RequestRefused) as refusal:
        admission.acquire(make_request())
    assert refusal.value.kind is ErrorKind.NO_UPSTREAM


def test_requests_go_to_the_upstream_that_does_not_rest(table, admission):
    rest(table, "1", 3.0)
    chosen = {admission.acquire(make_request()).listed.id for _ in range(4)}
    assert chosen == {"2"}


def test_queued_requests_are_refused_if_the_rest_outlasts_their_deadline(
    table, admission
):
    fill(table)
    short, long = queue(admission, make_request(2.0), make_request(60.0))
    rest(table, "1", 30.0)
    admission.handle_notice()
    eventlet.sleep(0.01)
    assert not short.dead
    rest(table, "2", 10.0)
    admission.handle_notice()
    refusal = short.wait()
    assert refusal.kind is ErrorKind.UPSTREAMS_RESTING
    assert 9.0 < refusal.retry_after_s <= 10.0
    assert not long.dead
    long.kill()


def test_queued_retry_may_try_the_others_again_if_its_last_upstream_rests(
    table, admission
):
    fill(table)
    (waiting,) = queue(admission, make_request(exclude=("1",)))
    rest(table, "2", 30.0)
    admission.handle_notice()
    assert waiting.wait().kind is ErrorKind.NO_UPSTREAM


def test_queued_requests_are_refused_if_all_upstreams_leave(table, admission):
    fill(table)
    (waiting,) = queue(admission, make_request())
    leave(table, "1")
    leave(table, "2")
    admission.handle_notice()
    assert waiting.wait().kind is ErrorKind.NO_UPSTREAM


def test_queued_requests_go_on_as_soon_as_a_rest_ends(table, admission):
    """Guards against waits for a load report or for the end of another request."""
    fill(table)
    (waiting,) = queue(admission, make_request())
    rest(table, "1", 0.3)
    rest(table, "2", 0.2)
    admission.handle_notice()
    for upstream in table:
        upstream.in_flight = 0
    began_at = time.monotonic()
    assert waiting.wait().listed.id == "2"
    assert time.monotonic() - began_at < 1.0


def test_request_queued_during_a_rest_goes_on_when_it_ends(table, admission):
    rest(table, "1", 0.2)
    table.get("2").in_flight = table.get("2").limit.value
    (waiting,) = queue(admission, make_request())
    assert waiting.wait().listed.id == "1"

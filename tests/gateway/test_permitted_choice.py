"""Permits of the upstreams that are chosen."""

import types

import pytest

from merlinnotch._errors import ErrorKind, RequestRefused
from merlinnotch._gateway import PermittedChooser
from merlinnotch._gateway.choice import Choice
from merlinnotch._rate_limits import NO_PERMIT_NEEDED, Permit
from merlinnotch._slot_leases import NO_LEASE_NEEDED, SlotLease

NOW = 50.0
CALL = types.SimpleNamespace(get_remaining_s=lambda now: 1.0)
PERMIT = Permit("start", 7, "one", NOW + 0.4)


class FakeChooser:
    """Chooses the first upstream that is not excluded."""

    def __init__(self, *starts):
        self.upstreams = [types.SimpleNamespace(start=start) for start in starts]
        self.sent_to = []

    def choose_upstream(self, call, now, denied_starts):
        choice = self.choose_reachable(call, denied_starts, now)
        if choice is None:
            raise RequestRefused(ErrorKind.UPSTREAMS_LIMITED)
        return choice

    def choose_reachable(self, call, excluded_starts, now):
        left = [u for u in self.upstreams if u.start not in excluded_starts]
        return Choice(left[0], 0, len(left) == 1) if left else None

    def record_sent(self, upstream, now):
        self.sent_to.append(upstream.start)


class FakePermits:
    """Issues what *by_start* says, and records questions and returns."""

    def __init__(self, by_start):
        self.by_start = by_start
        self.questions = []
        self.returned = []
        self.on_acquire = lambda: None

    def acquire(self, upstream, is_urgent):
        self.questions.append((upstream.start, is_urgent))
        self.on_acquire()
        return self.by_start.get(upstream.start)

    def give_back(self, permit):
        self.returned.append(permit)


class FakeSlots:
    """Leases by start; *waiting* are those to be had after a wait."""

    def __init__(self):
        self.leases = {}
        self.waiting = {}
        self.released = []

    def acquire(self, upstream, remaining_s, wait_s=0.0):
        leases = self.waiting if wait_s else self.leases
        return leases.get(upstream.start, NO_LEASE_NEEDED if not wait_s else None)

    def release(self, lease, was_rejected=False):
        if lease.id:
            self.released.append(lease)


class FakeView:
    accepts = True

    def find_start(self, start):
        return start

    def accepts_work(self, upstream, now):
        return self.accepts


class Choosing:
    """A permitted chooser with all its parts."""

    def __init__(self, starts, by_start):
        self.chooser = FakeChooser(*starts)
        self.permits = FakePermits(by_start)
        self.slots = FakeSlots()
        self.view = FakeView()
        self.permitted = PermittedChooser(
            self.chooser, self.permits, self.slots, self.view, lambda: NOW
        )


def test_upstream_without_a_permit_is_replaced_by_another():
    choosing = Choosing("ab", {"b": NO_PERMIT_NEEDED})
    choice = choosing.permitted.choose_upstream(CALL)
    assert choice.upstream.start == "b"
    assert choosing.chooser.sent_to == ["b"]


def test_only_the_last_upstream_is_asked_for_urgently():
    choosing = Choosing("ab", {})
    with pytest.raises(RequestRefused):
        choosing.permitted.choose_upstream(CALL)
    assert choosing.permits.questions == [("a", False), ("b", True)]
    assert choosing.chooser.sent_to == []


def test_reservation_without_a_permit_is_none():
    assert Choosing("ab", {}).permitted.choose_reachable(CALL, {"a"}) is None


def test_permit_of_an_upstream_that_left_meanwhile_is_returned():
    choosing = Choosing("a", {"a": PERMIT})

    def leave():
        choosing.view.accepts = False

    choosing.permits.on_acquire = leave
    assert choosing.permitted.choose_reachable(CALL, set()) is None
    assert choosing.permits.returned == [PERMIT]


def test_full_upstream_is_replaced_by_another():
    choosing = Choosing("ab", {"a": NO_PERMIT_NEEDED, "b": NO_PERMIT_NEEDED})
    choosing.slots.leases = {"a": None, "b": SlotLease("b", 7, "one")}
    choice = choosing.permitted.choose_upstream(CALL)
    assert (choice.upstream.start, choice.lease.id) == ("b", 7)


def test_full_upstreams_are_waited_for_once():
    choosing = Choosing("ab", {"a": NO_PERMIT_NEEDED, "b": NO_PERMIT_NEEDED})
    choosing.slots.leases = {"a": None, "b": None}
    choosing.slots.waiting = {"a": SlotLease("a", 7, "one")}
    assert choosing.permitted.choose_upstream(CALL).lease.id == 7


def test_request_is_refused_with_a_time_to_return_if_all_slots_are_taken():
    choosing = Choosing("ab", {"a": PERMIT, "b": PERMIT})
    choosing.slots.leases = {"a": None, "b": None}
    with pytest.raises(RequestRefused) as caught:
        choosing.permitted.choose_upstream(CALL)
    assert caught.value.kind is ErrorKind.UPSTREAMS_LIMITED
    assert caught.value.retry_after_s > 0.0
    assert len(choosing.permits.returned) == 3


def test_lease_of_an_unused_choice_is_returned():
    choosing = Choosing("a", {"a": NO_PERMIT_NEEDED})
    choosing.slots.leases = {"a": SlotLease("a", 7, "one")}
    choosing.permitted.give_back(choosing.permitted.choose_upstream(CALL))
    assert [lease.id for lease in choosing.slots.released] == [7]


def test_lease_of_an_abandoned_request_is_held_for_a_moment(monkeypatch):
    delayed = []
    monkeypatch.setattr(
        "eventlet.spawn_after", lambda delay_s, *call: delayed.append(delay_s)
    )
    choosing = Choosing("a", {"a": NO_PERMIT_NEEDED})
    choosing.slots.leases = {"a": SlotLease("a", 7, "one")}
    choice = choosing.permitted.choose_upstream(CALL)
    choosing.permitted.finish(choice, was_abandoned=True)
    assert choosing.slots.released == []
    assert len(delayed) == 1
    choosing.permitted.finish(choice)
    assert [lease.id for lease in choosing.slots.released] == [7]


def test_call_that_is_ended_while_it_asks_for_a_permit_waits_for_no_slot():
    choosing = Choosing("ab", {"a": NO_PERMIT_NEEDED, "b": NO_PERMIT_NEEDED})
    choosing.slots.leases = {"a": None}
    choosing.slots.waiting = {"a": SlotLease("a", 7, "one")}

    def end_second():
        if len(choosing.permits.questions) == 2:
            raise RequestRefused(ErrorKind.SHUTTING_DOWN)

    choosing.permits.on_acquire = end_second
    with pytest.raises(RequestRefused) as caught:
        choosing.permitted.choose_upstream(CALL)
    assert caught.value.kind is ErrorKind.SHUTTING_DOWN

"""Leases on slots of brittle upstreams, and their messages over datagrams."""

import collections
import dataclasses
import itertools
import logging
import time

import eventlet
from eventlet.event import Event

from .._fleet import UpstreamStart
from .._slot_leases import (
    NO_LEASE_NEEDED,
    BrittleBook,
    SlotAnswer,
    SlotIssuer,
    SlotLease,
    SlotQuestion,
    SlotRelease,
)
from .._slot_leases.issuer import Waiter
from .datagrams import MessageKind

logger = logging.getLogger("merlinnotch")

ANSWER_TIMEOUT_S = 0.15
"""Time for the answer of an issuer, beside the wait for a slot."""
LIFETIME_MARGIN_S = 1.0
"""Time after the deadline of a request within which its release arrives."""
MAX_ANSWERED = 256
"""Bounds memory. A datagram that the network repeats arrives soon after the first."""
REPORT_TTL_S = 0.3
"""How long an upstream's own count of its requests is used."""


class SlotExchange:
    """Gets leases from the instances that grant them, and grants some itself.

    Messages may be lost. A lost question or answer costs an attempt, a lost release
    keeps the slot until its lease ends. *fleet* is a :class:`PermitFleet`; a brittle
    upstream has the issuer that a limited one has. *loads* is a :class:`LoadTable`,
    *count* is called with the result of each question: "granted", "denied" or
    "unanswered".
    """

    def __init__(self, transport, name, address, view, fleet, loads, read_clock, count):
        self._transport = transport
        self._name = name
        self._address = address
        self._view = view
        self._fleet = fleet
        self._loads = loads
        self._read_clock = read_clock
        self._count = count
        self._book = BrittleBook()
        self._issuer = SlotIssuer(first_id=time.time_ns())
        # Answers to a previous process may still arrive.
        self._numbers = itertools.count(time.time_ns())
        self._events = {}
        self._answered = collections.OrderedDict()
        transport.handle(MessageKind.SLOT_QUESTION, self._handle_question)
        transport.handle(MessageKind.SLOT_ANSWER, self._handle_answer)
        transport.handle(MessageKind.SLOT_RELEASE, self._handle_release)
        transport.handle(MessageKind.BRITTLE, self._handle_brittle)

    def acquire(self, upstream, remaining_s, wait_s=0.0):
        """Return a :class:`SlotLease` on *upstream*, or None.

        The request takes *remaining_s* seconds at most. Waits for *wait_s* seconds if
        no slot is free.
        """
        now = self._read_clock()
        if not self._book.is_brittle(upstream.start, now):
            return NO_LEASE_NEEDED
        issuer = self._fleet.find_issuer(upstream)
        if issuer is None:
            return None
        lifetime_s = max(0.0, remaining_s) + LIFETIME_MARGIN_S
        question = SlotQuestion(
            self._name, dataclasses.astuple(upstream.start), lifetime_s, wait_s
        )
        lease_id = self._ask(issuer, upstream, question)
        if lease_id is None and not wait_s:
            self._count("unanswered")
            return None
        self._count("granted" if lease_id else "denied")
        return SlotLease(upstream.start, lease_id, issuer) if lease_id else None

    def release(self, lease, was_rejected=False):
        """End a *lease*; *was_rejected* tells that the upstream had no room."""
        if lease.id == 0:
            return
        message = SlotRelease(dataclasses.astuple(lease.start), lease.id, was_rejected)
        if lease.issuer == self._name:
            self._release(message)
        else:
            body = list(vars(message).values())
            self._send(MessageKind.SLOT_RELEASE, body, lease.issuer)

    def record_response(self, start, is_brittle, asked_at, now):
        """Record whether a response to a request of *asked_at* says brittle."""
        if is_brittle:
            if self._record_brittle(start, now):
                self._announce(start)
        elif self._book.record_sound(start, asked_at):
            logger.info("upstream no longer brittle", extra={"upstream": start.id})

    def forget(self, start):
        """Drop a start that has ended."""
        self._book.drop(start)
        self._issuer.drop(start)

    def _record_brittle(self, start, now):
        is_new = self._book.record_brittle(start, now)
        if is_new:
            logger.info("upstream brittle", extra={"upstream": start.id})
        return is_new

    def _announce(self, start):
        """Tell all instances at once: each could send requests of its own."""
        peers = self._view.list_present_peers()
        addresses = [peer.address for peer in peers if peer.name != self._name]
        body = list(dataclasses.astuple(start))
        self._transport.send(MessageKind.BRITTLE, body, addresses)

    def _ask(self, issuer, upstream, question):
        """Return the id of a lease, 0 if it is denied, None without an answer."""
        number = next(self._numbers)
        event = self._events[number] = Event()
        try:
            if issuer == self._name:
                self._decide(
                    upstream,
                    question,
                    lambda lease_id: self._deliver(number, upstream.start, lease_id),
                )
            else:
                body = [number, self._address, *vars(question).values()]
                self._send(MessageKind.SLOT_QUESTION, body, issuer)
            with eventlet.Timeout(question.wait_s + ANSWER_TIMEOUT_S, False):
                return event.wait()
            return None
        finally:
            del self._events[number]

    def _deliver(self, number, start, lease_id):
        """Pass an answer to its asker, or end a lease that comes too late.

        An answer that arrives twice doesn't end the lease, which may be in use.
        """
        event = self._events.get(number)
        if event is not None and not event.ready():
            self._record_answered(number, lease_id)
            event.send(lease_id)
            return
        if self._answered.get(number) == lease_id:
            return
        upstream = self._view.find_start(start)
        if lease_id and upstream is not None:
            issuer = self._fleet.find_issuer(upstream) or ""
            self.release(SlotLease(start, lease_id, issuer))

    def _record_answered(self, number, lease_id):
        self._answered[number] = lease_id
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def _decide(self, upstream, question, answer):
        """Call *answer* with the id of a lease, at once or when a slot is free."""
        now = self._read_clock()
        start = upstream.start
        self._serve_waiting(start, now)
        lease_id = self._issuer.grant(
            start,
            upstream.slots,
            self._get_reported_count(upstream, now),
            question.lifetime_s,
            now,
        )
        if lease_id == 0 and question.wait_s > 0.0:
            waiter = Waiter(answer, now + question.wait_s, question.lifetime_s)
            if self._issuer.wait(start, waiter, now):
                return
        answer(lease_id)

    def _get_reported_count(self, upstream, now):
        load = self._loads.get(upstream)
        if now - load.reported_at > REPORT_TTL_S:
            return 0
        return load.running + load.waiting

    def _handle_question(self, body):
        number, address, *fields = body
        question = SlotQuestion(*fields)
        start = UpstreamStart(*question.start)
        self._record_brittle(start, self._read_clock())

        def answer(lease_id):
            body = [number, lease_id, list(question.start)]
            self._transport.send(MessageKind.SLOT_ANSWER, body, [address])

        upstream = self._view.find_start(start)
        if upstream is None or self._fleet.find_issuer(upstream) != self._name:
            answer(0)
        else:
            self._decide(upstream, question, answer)

    def _handle_answer(self, body):
        number, lease_id, start = body
        self._deliver(number, UpstreamStart(*start), SlotAnswer(lease_id).lease_id)

    def _handle_release(self, body):
        self._release(SlotRelease(*body))

    def _release(self, release):
        start = UpstreamStart(*release.start)
        now = self._read_clock()
        self._issuer.release(start, release.lease_id, release.was_rejected, now)
        self._serve_waiting(start, now)

    def _serve_waiting(self, start, now):
        for waiter, lease_id in self._issuer.grant_waiting(start, now):
            waiter.answer(lease_id)

    def _handle_brittle(self, body):
        self._record_brittle(UpstreamStart(*body), self._read_clock())

    def _send(self, kind, body, name):
        peer = self._view.peers.get(name)
        if peer is not None:
            self._transport.send(kind, body, [peer.address])

"""The permits of an instance on the platform, and their messages over datagrams."""

import collections
import itertools
import time

import eventlet
from eventlet.event import Event

from .._fleet import UpstreamStart
from .._rate_limits import (
    ANSWER_TIMEOUT_S,
    IssuerDirectory,
    LimitReport,
    PermitAnswer,
    PermitFleet,
    PermitLink,
    PermitQuestion,
    PermitReturn,
    Permits,
)
from .datagrams import MessageKind

MAX_UNANSWERED = 256
"""Bounds memory; the oldest question is dropped first."""


class StoreFleet(PermitFleet):
    """The fleet as the store lists it.

    *view* is a :class:`FleetView`. *is_store_connected* tells whether this instance
    reaches the store.
    """

    def __init__(self, view, is_store_connected):
        self._view = view
        self._is_store_connected = is_store_connected
        self._directory = IssuerDirectory(view.peer_directory)

    def find_issuer(self, upstream):
        return self._directory.find(upstream)

    def find_upstream(self, start):
        return self._view.find_start(start)

    def make_start(self, fields):
        return UpstreamStart(*fields)

    def is_connected(self):
        return self._is_store_connected()

    def find_other_issuer(self, upstream, name):
        """Return the issuer that *upstream* would have without the instance *name*."""
        return self._directory.find_without(upstream, name)

    def forget(self, start):
        """Drop what belongs to an upstream that was removed."""
        self._directory.drop(start)


class DatagramLink(PermitLink):
    """Sends messages about permits as datagrams.

    *address* is where this instance receives datagrams.
    """

    def __init__(self, transport, name, address, view):
        self._transport = transport
        self._name = name
        self._address = address
        self._view = view
        # Answers to a previous process may still arrive.
        self._numbers = itertools.count(time.time_ns())
        self._events = {}
        self._unanswered = collections.OrderedDict()
        transport.handle(MessageKind.PERMIT_ANSWER, self._handle_answer)

    def ask(self, issuer, question):
        number = next(self._numbers)
        body = [number, self._address, *_encode(question)]
        event = self._events[number] = Event()
        try:
            if not self._send(MessageKind.PERMIT_REQUEST, body, issuer):
                return None
            with eventlet.Timeout(ANSWER_TIMEOUT_S, False):
                return event.wait()
        finally:
            del self._events[number]
        self._keep_unanswered(number, issuer, question)
        return None

    def give_back(self, issuer, permit_return):
        self._send(MessageKind.PERMIT_RETURN, _encode(permit_return), issuer)

    def report(self, issuer, report):
        self._send(MessageKind.LIMIT_REPORT, _encode(report), issuer)

    def announce(self, report):
        peers = self._view.list_present_peers()
        addresses = [peer.address for peer in peers if peer.name != self._name]
        self._transport.send(MessageKind.LIMIT_REPORT, _encode(report), addresses)

    def _handle_answer(self, body):
        number, *fields = body
        answer = PermitAnswer(*fields)
        event = self._events.get(number)
        if event is not None and not event.ready():
            event.send(answer)
            return
        issuer, start = self._unanswered.pop(number, (None, None))
        if issuer is not None and answer.permit_id:
            self.give_back(issuer, PermitReturn(start, answer.permit_id))

    def _keep_unanswered(self, number, issuer, question):
        """Remember a question, so that a permit that comes late is returned."""
        self._unanswered[number] = (issuer, question.start)
        if len(self._unanswered) > MAX_UNANSWERED:
            self._unanswered.popitem(last=False)

    def _send(self, kind, body, name):
        """Send *body* to the instance *name*; return whether it is known."""
        peer = self._view.peers.get(name)
        return peer is not None and self._transport.send(kind, body, [peer.address])


class PermitExchange(Permits):
    """The :class:`Permits` of an instance on the platform.

    *transport* is a :class:`DatagramTransport`, the other arguments are as for the
    classes above and for :class:`Permits`.
    """

    def __init__(
        self,
        transport,
        name,
        address,
        view,
        book,
        schedule,
        read_clock,
        is_store_connected,
        count,
    ):
        fleet = StoreFleet(view, is_store_connected)
        link = DatagramLink(transport, name, address, view)
        super().__init__(name, fleet, link, book, schedule, read_clock, count)
        self._transport = transport
        view.peer_directory.on_announced = self._report_limits
        transport.handle(MessageKind.PERMIT_REQUEST, self._answer_question)
        transport.handle(
            MessageKind.PERMIT_RETURN,
            lambda body: self.handle_return(PermitReturn(*body)),
        )
        transport.handle(
            MessageKind.LIMIT_REPORT,
            lambda body: self.handle_report(LimitReport(*body)),
        )

    def forget(self, start):
        super().forget(start)
        self._fleet.forget(start)

    def _report_limits(self, peer):
        """Report the limits to an instance that may have just started.

        The issuer of each reports it, or the next one if that is the new instance.
        """
        for start in self._book.list_limited():
            upstream = self._fleet.find_upstream(start)
            if upstream is None:
                continue
            issuer = self._fleet.find_other_issuer(upstream, peer.name)
            if issuer == self._name:
                self.report_limit(start, peer.name)

    def _answer_question(self, body):
        number, address, *fields = body
        answer = self.handle_question(PermitQuestion(*fields))
        body = [number, *_encode(answer)]
        self._transport.send(MessageKind.PERMIT_ANSWER, body, [address])


def _encode(message):
    return list(vars(message).values())

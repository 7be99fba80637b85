"""Permits for limited upstreams over the links between instances."""

import time

import eventlet

from .._peers import get_highest_ranked
from .._rate_limits import (
    ANSWER_TIMEOUT_S,
    LimitReport,
    PermitFleet,
    PermitLink,
    PermitQuestion,
    PermitReturn,
    list_candidates,
)
from .._routing import UpstreamStart
from .link import PeerUnreachable

SEND_TIMEOUT_S = 1.0


class GossipFleet(PermitFleet):
    """The fleet as gossip reports it.

    *membership* is a :class:`Membership`, *table* an :class:`UpstreamTable`.
    """

    def __init__(self, zone, membership, table):
        self._zone = zone
        self._membership = membership
        self._table = table

    def find_issuer(self, upstream):
        listed = upstream.listed
        staying = self._membership.list_staying(time.monotonic())
        return get_highest_ranked(listed.id, list_candidates(staying, listed.zone))

    def find_upstream(self, start):
        upstream = self._table.get(start.id)
        return upstream if upstream is not None and upstream.start == start else None

    def make_start(self, fields):
        return UpstreamStart(*fields)

    def is_connected(self):
        """Return whether most known instances of the zone are live.

        Two parts of a divided zone can't both see that.
        """
        live = self._membership.list_live(time.monotonic(), self._zone)
        return 2 * len(live) > self._membership.count_known(self._zone)


class PeerPermitLink(PermitLink):
    """Sends messages about permits with *peers*, a :class:`PeerTransport`."""

    def __init__(self, settings, peers, membership):
        self._instance = settings.instance
        self._zone = settings.zone
        self._peers = peers
        self._membership = membership

    def ask(self, issuer, question):
        member = self._membership.get(issuer)
        if member is None:
            return None
        try:
            return self._peers.request(member.address, question, ANSWER_TIMEOUT_S)
        except PeerUnreachable:
            return None

    def give_back(self, issuer, permit_return):
        self._send(issuer, permit_return)

    def report(self, issuer, report):
        self._send(issuer, report)

    def announce(self, report):
        """Send *report* to the instances of the own zone.

        Others learn the limit from the upstream's next response to them.
        """
        live = self._membership.list_live(time.monotonic(), self._zone)
        for name in live.keys() - {self._instance}:
            self._send(name, report)

    def _send(self, name, message):
        member = self._membership.get(name)
        if member is not None:
            eventlet.spawn_n(self._send_to, member.address, message)

    def _send_to(self, address, message):
        try:
            self._peers.request(address, message, SEND_TIMEOUT_S)
        except PeerUnreachable:
            return


def register_handlers(peers, permits):
    """Let *permits* handle the messages of other instances.

    Returns and reports are answered with the message itself.
    """

    def handle_return(message):
        permits.handle_return(message)
        return message

    def handle_report(message):
        permits.handle_report(message)
        return message

    peers.handlers[PermitQuestion] = permits.handle_question
    peers.handlers[PermitReturn] = handle_return
    peers.handlers[LimitReport] = handle_report

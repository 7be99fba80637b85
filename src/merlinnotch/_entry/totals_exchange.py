"""Messages between instances with their requests in flight and their demand."""

from collections import Counter

import eventlet

from .._rendezvous_hashing import rank_names
from .._totals import DemandKey, Totals
from .datagrams import MessageKind
from .zone_peers import ZonePeers

INTERVAL_S = 0.3
"""Interval of reports. An engine starts one or two requests in it."""
SENDERS_PER_ZONE = 2
TAKEOVER_S = 0.75
"""Time without sums of the zone after which its second sender sends them."""
MAX_DEMAND_ROWS = 24
"""Rows of demand per message, so that it fits a datagram."""
MAX_UPSTREAM_ROWS = 100
MAX_PARTS = 64
"""Parts of one message, and sources of unfinished ones; bounds memory."""


class TotalsExchange:
    """Sends and receives the :class:`Totals` of *fleet_totals*.

    Each instance reports to the two first instances of its zone by rendezvous hash. The
    first one sends the sums to the zone and to one instance of each other zone, which
    forwards them there; the second one takes over if they are missing. *is_wanted*
    tells whether anything uses the totals. *count* is called with "sent" or "received"
    for each message.
    """

    def __init__(
        self,
        transport,
        name,
        zone,
        view,
        read_clock,
        fleet_totals,
        is_wanted,
        count=lambda direction: None,
    ):
        self._transport = transport
        self._name = name
        self._zone = zone
        self._view = view
        self._peers = ZonePeers(name, zone, view)
        self._read_clock = read_clock
        self._totals = fleet_totals
        self._is_wanted = is_wanted
        self._count = count
        self._was_empty = False
        self._parts = {}
        transport.handle(MessageKind.TOTALS_REPORT, self._handle_report)
        transport.handle(MessageKind.ZONE_TOTALS, self._handle_zone)
        transport.handle(MessageKind.ZONE_TOTALS_FORWARDED, self._handle_forwarded)

    def run(self):
        """Exchange totals until the process ends."""
        while True:
            eventlet.sleep(INTERVAL_S)
            if self._is_wanted():
                self.exchange(self._read_clock())

    def exchange(self, now):
        """Send this instance's report, and the sums of the zone if it is its turn."""
        names = self._peers.list_names(self._zone)
        senders = rank_names(self._zone, names, SENDERS_PER_ZONE)
        if self._name in senders:
            self._send_zone(senders, now)
            others = [name for name in senders if name != self._name]
        else:
            others = senders
        self._send_report(others, now)

    def _send_report(self, receivers, now):
        report = self._totals.build_report(now)
        is_empty = not (report.in_flight or report.demand)
        if is_empty and self._was_empty:
            return
        self._was_empty = is_empty
        addresses = [self._view.peers[name].address for name in receivers]
        self._send(MessageKind.TOTALS_REPORT, self._name, report, addresses)

    def _send_zone(self, senders, now):
        received_at = self._totals.zone_received_at
        is_first = self._name == senders[0]
        if not is_first and received_at and now - received_at < TAKEOVER_S:
            return
        totals = self._totals.sum_zone(now)
        if is_first:
            self._totals.record_zone(self._zone, totals, now)
        else:
            # Not recorded as received, or this sender would pause on its own messages.
            received_at = self._totals.zone_received_at
            self._totals.record_zone(self._zone, totals, now)
            self._totals.zone_received_at = received_at
        zone_addresses = self._peers.list_own_addresses()
        self._send(
            MessageKind.ZONE_TOTALS_FORWARDED, self._zone, totals, zone_addresses
        )
        receivers = self._peers.list_receivers()
        self._send(MessageKind.ZONE_TOTALS, self._zone, totals, receivers)

    def _send(self, kind, source, totals, addresses):
        if not addresses:
            return
        bodies = _encode(source, totals)
        for body in bodies:
            self._transport.send(kind, body, addresses)
        self._count("sent")

    def _handle_report(self, body):
        name, totals = self._join(body)
        if totals is not None and name in self._peers.list_names(self._zone):
            self._totals.record_instance(name, totals, self._read_clock())

    def _handle_zone(self, body):
        self._transport.send(
            MessageKind.ZONE_TOTALS_FORWARDED, body, self._peers.list_own_addresses()
        )
        self._handle_forwarded(body)

    def _handle_forwarded(self, body):
        zone, totals = self._join(body)
        if totals is not None and zone in (self._zone, *self._peers.list_other_zones()):
            self._totals.record_zone(zone, totals, self._read_clock())

    def _join(self, body):
        """Return the source of a message, and its totals if all parts have arrived.

        The parts of one state are joined; one with a missing part is dropped.
        """
        source, index, count, instance_count, upstreams, demand, retries = body
        if count > MAX_PARTS:
            raise ValueError(f"{count} parts")
        self._count("received")
        part = _decode(instance_count, upstreams, demand, retries)
        if count == 1:
            return source, part
        if len(self._parts) > MAX_PARTS:
            self._parts.clear()
        parts = self._parts.setdefault(source, [])
        if index != len(parts):
            parts.clear()
        if index == len(parts):
            parts.append(part)
        if len(parts) < count:
            return source, None
        del self._parts[source]
        joined = Totals()
        for part in parts:
            joined = joined.add(part)
        return source, joined


def _encode(source, totals):
    """Return message bodies; the first part carries the number of instances."""
    in_flight = [[key, count] for key, count in totals.in_flight.items()]
    upstream_parts = _split(in_flight, MAX_UPSTREAM_ROWS)
    demand = [
        [key.service, key.team, key.rank, round(per_s, 2)]
        for key, per_s in totals.demand.items()
    ]
    retry_rows = [[name, round(rate, 2)] for name, rate in totals.retries.items()]
    parts = [(rows, []) for rows in upstream_parts]
    parts += [([], rows) for rows in _split(demand, MAX_DEMAND_ROWS)]
    parts = parts or [([], [])]
    return [
        [
            source,
            index,
            len(parts),
            totals.instance_count if index == 0 else 0,
            upstream_rows,
            demand_rows,
            retry_rows if index == 0 else [],
        ]
        for index, (upstream_rows, demand_rows) in enumerate(parts)
    ]


def _decode(instance_count, upstream_rows, demand_rows, retry_rows):
    in_flight = Counter(dict(upstream_rows))
    demand = {
        DemandKey(service, team, rank): per_s
        for service, team, rank, per_s in demand_rows
    }
    retries = dict(retry_rows)
    return Totals(instance_count, in_flight, demand, retries)


def _split(rows, size):
    return [rows[first : first + size] for first in range(0, len(rows), size)]

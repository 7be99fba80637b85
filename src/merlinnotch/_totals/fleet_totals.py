"""Requests in flight and demand, summed over all instances.

Instances exchange their state, not its changes, so a lost or duplicated message is
corrected by the next one.
"""

import functools
import zlib
from collections import Counter
from dataclasses import dataclass, field

from .._admission import DemandRow, ServiceDemand
from .demand_counter import DemandCounter, DemandKey

MAX_AGE_S = 2.0
"""Rows that arrived earlier are dropped: requests of plain services end in less, and
an instance that ended or is cut off sends no more."""
SUM_TTL_S = 0.25
"""How long a sum is used at most; zones that sent nothing may be too old then."""
MAX_IN_FLIGHT = 10_000
MAX_PER_S = 100_000.0
UNUSED_SHARE = 0.7
"""Share of the unused retries that is granted. Reports are up to a second old, and in
that time instances may use more of their own."""
MAX_ROWS = 2_000
"""Bounds memory where a peer sends nonsense."""


@dataclass(frozen=True)
class Totals:
    """The state of *instance_count* instances.

    *in_flight* counts requests by the key of an upstream start, see
    :func:`compute_start_key`; *demand* is in requests per second, *retries* in retries
    per second by service.
    """

    instance_count: int = 0
    in_flight: Counter = field(default_factory=Counter)
    demand: dict[DemandKey, float] = field(default_factory=dict)
    retries: dict[str, float] = field(default_factory=dict)

    def add(self, other):
        """Return the sum of both."""
        demand = Counter(self.demand)
        demand.update(other.demand)
        retries = Counter(self.retries)
        retries.update(other.retries)
        return Totals(
            self.instance_count + other.instance_count,
            self.in_flight + other.in_flight,
            dict(demand),
            dict(retries),
        )


@dataclass(frozen=True)
class _Received:
    totals: Totals
    received_at: float


class FleetTotals:
    """What one instance knows of the requests of all instances.

    *zone* is its availability zone, *count_in_flight* returns its own requests in
    flight by :class:`UpstreamStart`.
    """

    def __init__(self, zone, count_in_flight):
        self._zone = zone
        self._count_in_flight = count_in_flight
        self._arrivals = DemandCounter()
        self._retries = DemandCounter()
        self._reported = Totals(1)
        self._instances = {}
        self._zones = {}
        self._fleet = None
        self._fleet_until = 0.0
        self.zone_received_at = None

    def record_arrival(self, service, team, rank, now):
        """Count a request of *team* that arrived at this instance."""
        self._arrivals.record(DemandKey(service, team, rank), now)

    def record_retry(self, service, now):
        """Count a send of this instance after the first one of a request."""
        self._retries.record(service, now)

    def build_report(self, now):
        """Return the :class:`Totals` of this instance."""
        in_flight = Counter(
            {
                compute_start_key(start): count
                for start, count in self._count_in_flight().items()
                if count > 0
            }
        )
        demand = self._arrivals.measure(now)
        retries = self._retries.measure(now)
        self._reported = Totals(1, in_flight, demand, retries)
        return self._reported

    def record_instance(self, name, totals, now):
        """Store the report of the instance *name* of the own zone."""
        self._instances[name] = _Received(_bound(totals), now)

    def sum_zone(self, now):
        """Return the sum of the reports of the own zone, this instance's included."""
        _drop_old(self._instances, now)
        total = self.build_report(now)
        for received in self._instances.values():
            total = total.add(received.totals)
        return total

    def record_zone(self, zone, totals, now):
        """Store the sums of the availability zone *zone*."""
        self._zones[zone] = _Received(_bound(totals), now)
        self._fleet = None
        if zone == self._zone:
            self.zone_received_at = now

    def get_in_flight(self, start, now):
        """Return the requests of other instances at *start*, None if unknown."""
        if not self._has_news(now):
            return None
        key = compute_start_key(start)
        known = self._sum_fleet(now).in_flight[key]
        return max(0, known - self._reported.in_flight[key])

    def get_unused_retries(self, service, ratio, now):
        """Return this instance's share of the retries that the fleet does not use.

        The fleet may make *ratio* times as many retries as it gets requests for
        *service*. The share is in retries per second, 0 without news of others.
        """
        if not self._has_news(now):
            return 0.0
        fleet = self._sum_fleet(now)
        per_s = sum(row.per_s for row in _select(fleet.demand, service))
        unused_per_s = ratio * per_s - fleet.retries.get(service, 0.0)
        return UNUSED_SHARE * max(0.0, unused_per_s) / max(1, fleet.instance_count)

    def get_demand(self, service, now):
        """Return the :class:`ServiceDemand` of *service*.

        Without news of other instances it is this instance's own.
        """
        own = _select(self._arrivals.measure(now), service)
        fleet = self._sum_fleet(now)
        rows = _select(fleet.demand, service)
        if not self._has_news(now) or not rows:
            return ServiceDemand(own)
        per_s = sum(row.per_s for row in rows)
        own_per_s = sum(row.per_s for row in own)
        count = max(1, fleet.instance_count)
        share = own_per_s / per_s if per_s > 0.0 else 1.0 / count
        return ServiceDemand(rows, count, min(1.0, share))

    def _has_news(self, now):
        """Return whether the sums of the own zone are recent."""
        own_zone = self._zones.get(self._zone)
        return own_zone is not None and now - own_zone.received_at <= MAX_AGE_S

    def _sum_fleet(self, now):
        """Return the sum of all zones, which is computed once per change."""
        if self._fleet is None or now >= self._fleet_until:
            _drop_old(self._zones, now)
            self._fleet = Totals()
            for received in self._zones.values():
                self._fleet = self._fleet.add(received.totals)
            self._fleet_until = now + SUM_TTL_S
        return self._fleet


@functools.lru_cache(maxsize=4096)
def compute_start_key(start):
    """Return a number for *start*, an :class:`UpstreamStart`, to send instead of it.

    Of some thousand starts, two have the same number in one case of a thousand; both
    then count as busier than they are.
    """
    return zlib.crc32(f"{start.id}/{start.started_ms}".encode())


def _select(demand, service):
    return tuple(
        DemandRow(key.team, key.rank, per_s)
        for key, per_s in demand.items()
        if key.service == service
    )


def _drop_old(received_by_name, now):
    for name, received in list(received_by_name.items()):
        if now - received.received_at > MAX_AGE_S:
            del received_by_name[name]


def _bound(totals):
    in_flight = Counter(
        {
            key: min(MAX_IN_FLIGHT, max(0, count))
            for key, count in list(totals.in_flight.items())[:MAX_ROWS]
        }
    )
    demand = {
        key: min(MAX_PER_S, max(0.0, per_s))
        for key, per_s in list(totals.demand.items())[:MAX_ROWS]
    }
    retries = {
        service: min(MAX_PER_S, max(0.0, per_s))
        for service, per_s in list(totals.retries.items())[:MAX_ROWS]
    }
    return Totals(max(0, totals.instance_count), in_flight, demand, retries)

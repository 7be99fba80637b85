"""How many requests cold upstreams get."""

import abc
from dataclasses import dataclass

from .._rendezvous import rank

TWO_VIEWS = 2.0
"""Instances that are cut off from each other may take different ones for the senders
to an upstream: two sets of them together stay within its bound."""
BURST_SHARE = 0.2
"""Part of the bound that senders may use at the same moment. More senders leave fewer
instances without any cold upstream, fewer senders leave each a higher rate."""


@dataclass(frozen=True)
class WarmUpBound:
    """What a cold upstream tolerates, over all instances together.

    In any second *overshoot* times the rate that its service names and *slack*
    requests more.
    """

    overshoot: float = 1.0
    slack: float = 0.0

    def count_most(self, cold_per_s):
        """Return the most requests in any second at a service's *cold_per_s*."""
        return self.overshoot * cold_per_s + self.slack


class WarmUp(abc.ABC):
    """Whether this instance may send a request to an upstream that may be cold."""

    @abc.abstractmethod
    def allows(self, upstream, now):
        """Return whether *upstream* may get a request from here at *now*."""

    @abc.abstractmethod
    def take(self, upstream, now):
        """Count a request to *upstream*."""


class SenderWarmUp(WarmUp):
    """Leaves each cold upstream to a few instances, each with a rate of its own.

    Answers the load of a zone that comes back empty, when all instances would send to
    the same idle upstreams at once, without a word between instances: a word takes as
    long as the harm. The senders are found by rendezvous hashing among the instances of
    the upstream's zone, so that a zone that is cut off uses its own. Each holds a
    bucket of one request that begins empty and fills at its part of the rate: in any
    second a sender sends one request more than that part.

    *view* lists instances and services and knows who is cold.
    """

    def __init__(self, name, zone, view, bound):
        self._name = name
        self._zone = zone
        self._view = view
        self._bound = bound
        self._senders = {}
        self._buckets = {}

    def allows(self, upstream, now):
        if self._view.cold.measure_left(upstream.start, now) <= 0.0:
            self._buckets.pop(upstream.start, None)
            return True
        cold_per_s = self._view.get_cold_rate(upstream.service)
        if cold_per_s <= 0.0:
            return True
        count, rate = self._divide(cold_per_s)
        if not self._is_sender(upstream, count, now):
            return False
        return self._fill(upstream, rate, now).tokens >= 1.0

    def take(self, upstream, now):
        bucket = self._buckets.get(upstream.start)
        if bucket is not None:
            bucket.tokens = max(0.0, bucket.tokens - 1.0)

    def _divide(self, cold_per_s):
        """Return how many instances send, and the rate of each."""
        part = self._bound.count_most(cold_per_s) / TWO_VIEWS
        count = max(1, int(BURST_SHARE * TWO_VIEWS * part))
        return count, max(0.0, part - count) / count

    def _is_sender(self, upstream, count, now):
        names = {p.name for p in self._view.peer_book.list_recent(upstream.zone, now)}
        if upstream.zone == self._zone or not names:
            names.add(self._name)
        known, senders = self._senders.get(upstream.start, (None, ()))
        # Hashing the names of a large zone costs more than comparing them.
        if names != known:
            senders = rank(upstream.id, names, count)
            self._senders[upstream.start] = (names, senders)
        return self._name in senders

    def _fill(self, upstream, rate, now):
        bucket = self._buckets.get(upstream.start) or self._open(upstream, now)
        bucket.tokens = min(1.0, bucket.tokens + rate * (now - bucket.filled_at))
        bucket.filled_at = now
        return bucket

    def _open(self, upstream, now):
        cold = self._view.cold
        for start in list(self._buckets):
            if cold.measure_left(start, now) <= 0.0:
                del self._buckets[start]
                self._senders.pop(start, None)
        age_s = cold.measure_age(upstream.start, now)
        bucket = self._buckets[upstream.start] = _Bucket(0.0, now - age_s)
        return bucket


@dataclass
class _Bucket:
    """Requests that may be sent at *filled_at*."""

    tokens: float
    filled_at: float

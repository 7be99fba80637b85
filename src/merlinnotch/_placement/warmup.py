"""Limits on the requests to cold upstreams."""

import abc
from dataclasses import dataclass

from .._rendezvous_hashing import rank_names

MAX_PARTITIONS = 2.0
"""Instances on two sides of a network partition may select different senders for an
upstream; both sets together must stay within its bound."""
BURST_SHARE = 0.2
"""Fraction of the bound that all senders together may use at once, which sets their
number. With more senders fewer instances have no cold upstream, with fewer senders
each has a higher rate."""


@dataclass(frozen=True)
class ColdRateLimit:
    """Maximum requests to a cold upstream in any second, over all instances.

    It is *overshoot* times the rate that is configured for its service, plus *slack*
    requests.
    """

    overshoot: float = 1.0
    slack: float = 0.0

    def compute_max_requests(self, cold_per_s):
        """Return the maximum requests in any second for the rate *cold_per_s*."""
        return self.overshoot * cold_per_s + self.slack


class WarmUp(abc.ABC):
    """Decides whether this instance may send a request to a possibly cold upstream."""

    @abc.abstractmethod
    def allows(self, upstream, now):
        """Return whether this instance may send a request to *upstream* at *now*."""

    @abc.abstractmethod
    def record_sent(self, upstream, now):
        """Count a request that is sent to *upstream*."""


class RendezvousWarmUp(WarmUp):
    """Restricts each cold upstream to a few sender instances with a rate limit each.

    Prevents all instances from sending to the same idle upstreams at once when a zone
    returns to service. Instances do not coordinate, because messages would arrive too
    late. The senders are selected by rendezvous hashing among the instances of the
    upstream's zone, so that an isolated zone uses its own instances. Each sender has a
    token bucket of capacity 1 that is empty at first and refills at the sender's share
    of the rate, so in any second it sends at most that share plus one request.

    *view* is the fleet view, which lists instances, services and cold upstreams.
    """

    def __init__(self, name, zone, view, bound):
        self._name = name
        self._zone = zone
        self._view = view
        self._bound = bound
        self._senders = {}
        self._buckets = {}

    def allows(self, upstream, now):
        if self._view.cold.get_remaining_s(upstream.start, now) <= 0.0:
            self._buckets.pop(upstream.start, None)
            return True
        cold_per_s = self._view.get_cold_rate(upstream.service)
        if cold_per_s <= 0.0:
            return True
        count, rate = self._split_bound(cold_per_s)
        if not self._is_sender(upstream, count, now):
            return False
        return self._refill_bucket(upstream, rate, now).tokens >= 1.0

    def record_sent(self, upstream, now):
        bucket = self._buckets.get(upstream.start)
        if bucket is not None:
            bucket.tokens = max(0.0, bucket.tokens - 1.0)

    def _split_bound(self, cold_per_s):
        """Return the number of senders, and the rate of each per second."""
        max_requests = self._bound.compute_max_requests(cold_per_s) / MAX_PARTITIONS
        count = max(1, int(BURST_SHARE * MAX_PARTITIONS * max_requests))
        return count, max(0.0, max_requests - count) / count

    def _is_sender(self, upstream, count, now):
        names = {
            peer.name
            for peer in self._view.peer_directory.list_recent(upstream.zone, now)
        }
        if upstream.zone == self._zone or not names:
            names.add(self._name)
        ranked_names, senders = self._senders.get(upstream.start, (None, ()))
        # Comparing the names of a large zone is cheaper than ranking them again.
        if names != ranked_names:
            senders = rank_names(upstream.id, names, count)
            self._senders[upstream.start] = (names, senders)
        return self._name in senders

    def _refill_bucket(self, upstream, rate, now):
        bucket = self._buckets.get(upstream.start) or self._create_bucket(upstream, now)
        bucket.tokens = min(1.0, bucket.tokens + rate * (now - bucket.refilled_at))
        bucket.refilled_at = now
        return bucket

    def _create_bucket(self, upstream, now):
        cold = self._view.cold
        for start in list(self._buckets):
            if cold.get_remaining_s(start, now) <= 0.0:
                del self._buckets[start]
                self._senders.pop(start, None)
        age_s = cold.get_elapsed_s(upstream.start, now)
        bucket = self._buckets[upstream.start] = _TokenBucket(0.0, now - age_s)
        return bucket


@dataclass
class _TokenBucket:
    """A token bucket; *tokens* requests may be sent at *refilled_at*."""

    tokens: float
    refilled_at: float

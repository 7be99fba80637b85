"""Selection of an upstream."""

import hashlib
import random

from .._notices import NoticeSource, UpstreamNotices
from .._rate_limits import LimitBook, PermitSchedule
from .upstream import Upstream

CROSS_ZONE_PENALTY = 0.15
"""Load that is added to upstreams of other zones."""

MAX_NOISE = 0.1
INITIAL_DURATION_S = 0.5
MIN_DURATION_S = 0.1
SMOOTHING = 0.05

LEAVING_TTL_S = 60.0
"""How long a notice of leaving holds, unless it is renewed. An upstream that restarts
at the same address can't be distinguished from its former start."""

AFFINITY_TOLERANCE = 0.35
"""Load above the minimum that is accepted for prefix-cache affinity."""


class UpstreamTable:
    """The upstreams known to one instance, and the selection among them.

    *notices* has what they asked of their senders, *limit_book* the limits that they
    named and *schedule* the times at which permits may be due. The notices and the
    limit of an upstream end when its address changes, but not when it is removed, as it
    may be listed again.
    """

    def __init__(self, zone, affinity=True, generator=random):
        self._zone = zone
        self._affinity = affinity
        self._generator = generator
        self._upstreams = {}
        self.notices = UpstreamNotices(max_leaving_s=LEAVING_TTL_S)
        self.limit_book = LimitBook()
        self.schedule = PermitSchedule(self.limit_book)
        self._mean_duration_s = INITIAL_DURATION_S

    def __iter__(self):
        return iter(self._upstreams.values())

    def __len__(self):
        return len(self._upstreams)

    def get(self, upstream_id):
        """Return the :class:`Upstream`, or None."""
        return self._upstreams.get(upstream_id)

    def replace_listing(self, rows):
        """Apply the platform's list; unlisted upstreams are removed when idle."""
        listed = {row.id: row for row in rows}
        for upstream_id, row in listed.items():
            current = self._upstreams.get(upstream_id)
            if current is None or current.listed.address != row.address:
                self._replace(current, row)
            else:
                current.listed = row
        for upstream_id in self._upstreams.keys() - listed.keys():
            if self._upstreams[upstream_id].in_flight == 0:
                del self._upstreams[upstream_id]

    def record_leaving(self, upstream_id, now, source=NoticeSource.PEER):
        """Record that an upstream announced its shutdown; return whether it is new."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return False
        is_new = not upstream.is_leaving(now)
        self.notices.record_leaving(upstream.start, source, now)
        return is_new

    def record_load(self, upstream_id, report, now):
        """Store a load report and adapt the limit of the upstream."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return
        upstream.record_reachable()
        upstream.running = report.running
        upstream.waiting = report.waiting
        upstream.slots = max(1, report.slots)
        upstream.in_flight_at_report = upstream.in_flight
        upstream.reported_at = now
        upstream.limit.record_report(report.slots, report.waiting, upstream.in_flight)

    def record_versions(self, upstream_id, versions):
        """Store the versions that an upstream has loaded."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is not None:
            upstream.versions = frozenset(versions)

    def record_duration(self, duration_s):
        """Update the mean duration of requests, the half-life of load reports."""
        self._mean_duration_s += SMOOTHING * (duration_s - self._mean_duration_s)

    def find(self, pool, version, now, exclude=()):
        """Return the upstreams that may get new requests, regardless of load."""
        suitable = self._iterate_suitable(pool, version, exclude)
        return [upstream for upstream in suitable if upstream.may_get_request(now)]

    def has_free(self, pool, version, now, exclude=()):
        """Return whether an upstream that isn't ejected may get a request at once."""
        suitable = self._iterate_suitable(pool, version, exclude)
        return any(upstream.is_free(now) for upstream in suitable)

    def list_staying(self, pool, version, now, exclude=()):
        """Return the upstreams that may get new requests now or after their rests."""
        suitable = self._iterate_suitable(pool, version, exclude)
        return [upstream for upstream in suitable if not upstream.is_leaving(now)]

    def get_shortest_wait_s(self, now):
        """Return in how many seconds the next upstream may get requests again.

        0 if none rests or waits for a permit.
        """
        waits_s = [upstream.get_wait_s(now) for upstream in self]
        return min((wait_s for wait_s in waits_s if wait_s > 0.0), default=0.0)

    def choose(self, pool, version, now, affinity_key="", exclude=()):
        """Return the upstream for a new request, or None if all are at their limits.

        Ejected upstreams are used only if no other is left, so that false positives
        of the failure detection cannot make all of the pool unavailable.
        """
        candidates = self.find(pool, version, now, exclude)
        healthy = [u for u in candidates if not u.is_ejected(now)]
        candidates = healthy or candidates
        available = [u for u in candidates if u.in_flight < u.limit.value]
        if not available:
            return None
        loads = {u.listed.id: self._estimate_load(u, now) for u in available}
        best = min(available, key=lambda u: loads[u.listed.id])
        if not (affinity_key and self._affinity):
            return best
        preferred = max(
            available, key=lambda u: _hash_affinity(affinity_key, u.listed.id)
        )
        if loads[preferred.listed.id] <= loads[best.listed.id] + AFFINITY_TOLERANCE:
            return preferred
        return best

    def _replace(self, previous, row):
        if previous is not None:
            self.notices.drop(previous.start)
            self.limit_book.drop(previous.start)
            self.schedule.drop(previous.start)
        self._upstreams[row.id] = Upstream(row, self.notices, self.schedule)

    def _iterate_suitable(self, pool, version, exclude):
        return (
            upstream
            for upstream in self._upstreams.values()
            if upstream.listed.pool == pool
            and upstream.listed.id not in exclude
            and upstream.has_version(version)
        )

    def _estimate_load(self, upstream, now):
        """Return the estimated load of an upstream, with the penalty for other zones.

        The weight of a report decays with the mean duration of requests as half-life.
        The remaining weight goes to the load by own requests plus random noise, so
        that instances with the same old report do not all select the same upstream.
        """
        zone_penalty = CROSS_ZONE_PENALTY if upstream.listed.zone != self._zone else 0.0
        age_s = now - upstream.reported_at
        weight = 2 ** -(age_s / max(MIN_DURATION_S, self._mean_duration_s))
        own_load = upstream.in_flight / upstream.limit.value
        noise = MAX_NOISE * self._generator.random()
        return weight * upstream.load + (1 - weight) * (own_load + noise) + zone_penalty


def _hash_affinity(key, upstream_id):
    text = f"{key}\0{upstream_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()

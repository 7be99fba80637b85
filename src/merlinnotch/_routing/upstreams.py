"""Choosing an upstream."""

import hashlib
import random

from .upstream import Upstream

OTHER_ZONE_LOAD = 0.15
"""Load by which an upstream of another zone must be lighter to be chosen."""

CHANCE_LOAD = 0.1
FIRST_DURATION_S = 0.5
MIN_DURATION_S = 0.1
SMOOTHING = 0.05

AFFINITY_LOAD = 0.35
"""Load that prefix-cache affinity may cost."""


class UpstreamTable:
    """All upstreams known to one instance, and the choice among them."""

    def __init__(self, zone, affinity=True, generator=random):
        self._zone = zone
        self._affinity = affinity
        self._generator = generator
        self._upstreams = {}
        self._duration_s = FIRST_DURATION_S

    def __iter__(self):
        return iter(self._upstreams.values())

    def __len__(self):
        return len(self._upstreams)

    def get(self, upstream_id):
        """Return the :class:`Upstream`, or None."""
        return self._upstreams.get(upstream_id)

    def replace_listing(self, rows):
        """Take the platform's list; what it no longer has is dropped when idle."""
        listed = {row.id: row for row in rows}
        for upstream_id, row in listed.items():
            known = self._upstreams.get(upstream_id)
            if known is None or known.listed.address != row.address:
                self._upstreams[upstream_id] = Upstream(row)
            else:
                known.listed = row
        for upstream_id in self._upstreams.keys() - listed.keys():
            if self._upstreams[upstream_id].in_flight == 0:
                del self._upstreams[upstream_id]

    def note_leaving(self, upstream_id, now):
        """An upstream said itself that it is leaving; return whether it's news."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None or upstream.is_leaving(now):
            return False
        upstream.left_at = now
        return True

    def note_load(self, upstream_id, report, now):
        """Take a load report."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is None:
            return
        upstream.note_reachable()
        upstream.running = report.running
        upstream.waiting = report.waiting
        upstream.slots = max(1, report.slots)
        upstream.in_flight_at_report = upstream.in_flight
        upstream.reported_at = now
        upstream.limit.note_report(report.slots, report.waiting, upstream.in_flight)

    def note_versions(self, upstream_id, versions):
        """Take the versions that an upstream has loaded."""
        upstream = self._upstreams.get(upstream_id)
        if upstream is not None:
            upstream.versions = frozenset(versions)

    def note_duration(self, duration_s):
        """Learn how long a request takes, and so how soon a report is old."""
        self._duration_s += SMOOTHING * (duration_s - self._duration_s)

    def find(self, pool, version, now, exclude=()):
        """Return the upstreams that may get new work, busy or not."""
        return [
            upstream
            for upstream in self._upstreams.values()
            if upstream.listed.pool == pool
            and upstream.listed.id not in exclude
            and upstream.has_version(version)
            and not upstream.is_leaving(now)
        ]

    def choose(self, pool, version, now, affinity_key="", exclude=()):
        """Return the upstream that new work should go to, or None if all are full.

        An ejected upstream is used only when nothing else is left: a wrong
        guess about its health must not make the pool unreachable.
        """
        candidates = self.find(pool, version, now, exclude)
        healthy = [u for u in candidates if not u.is_ejected(now)]
        candidates = healthy or candidates
        free = [u for u in candidates if u.in_flight < u.limit.value]
        if not free:
            return None
        rates = {u.listed.id: self._rate(u, now) for u in free}
        best = min(free, key=lambda u: rates[u.listed.id])
        if not (affinity_key and self._affinity):
            return best
        favourite = max(free, key=lambda u: _rank(affinity_key, u.listed.id))
        if rates[favourite.listed.id] <= rates[best.listed.id] + AFFINITY_LOAD:
            return favourite
        return best

    def _rate(self, upstream, now):
        """Return how loaded an upstream seems.

        A report counts less the older it is, by the time that a request
        takes: after that, what it saw has ended. What is left is our own part,
        and chance, so that instances with the same old report don't all go
        the same way.
        """
        away = OTHER_ZONE_LOAD if upstream.listed.zone != self._zone else 0.0
        age_s = now - upstream.reported_at
        weight = 2 ** -(age_s / max(MIN_DURATION_S, self._duration_s))
        own = upstream.in_flight / upstream.limit.value
        chance = CHANCE_LOAD * self._generator.random()
        return weight * upstream.load + (1 - weight) * (own + chance) + away


def _rank(key, upstream_id):
    text = f"{key}\0{upstream_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()

"""Load of one upstream, from its reports and from this instance's requests."""

import math
from dataclasses import dataclass, field

from .backlog import PrefillBacklog
from .cache import PrefixCache

REPORT_HALF_LIFE_S = 1.0
"""Half-life of the weight of a load report. Other instances change the load
meanwhile."""
FAILURE_HALF_LIFE_S = 3.0
"""Half-life of the failure rate without new answers. An upstream that recovered is in
full use again after some ten seconds; one that goes on failing is found in a few."""
FAILURE_WEIGHT = 0.34
"""Weight of the newest answer in the failure rate. Three failures in a row make an
upstream the last choice."""
SLOWDOWN_HALF_LIFE_S = 2.0
"""Half-life of the measured slowdown: it is caused by prefills, which end soon."""
SLOWDOWN_WEIGHT = 0.08
"""Weight of the newest gap between events in the slowdown."""
LATENCY_WEIGHT = 0.2
"""Weight of the newest answer in the mean latency."""


@dataclass
class UpstreamLoad:
    """One instance's view of the load of one upstream.

    *backlog* is the prefill time that all instances have queued there. *running* and
    *waiting* are the request counts that the upstream reported at *reported_at*,
    *in_flight_at_report* this instance's own requests at that time. *reachable* is
    false from a failed connection until the next successful one. *contacted_at* is when
    it last answered or accepted a connection. *tie_breaker* decides
    between upstreams of equal cost. *slowdown* is the time per event relative to an
    unloaded engine, as of *slowdown_updated_at*. Timestamps and durations are in
    seconds.
    """

    cache: PrefixCache
    tie_breaker: float = 0.0
    in_flight: int = 0
    backlog: PrefillBacklog = field(default_factory=PrefillBacklog)
    running: int = 0
    waiting: int = 0
    in_flight_at_report: int = 0
    reported_at: float = -math.inf
    mean_latency_s: float = 0.0
    answers: int = 0
    contacted_at: float = -math.inf
    reachable: bool = True
    slowdown: float = 1.0
    slowdown_updated_at: float = -math.inf
    _failure_rate: float = field(default=0.0)
    _failure_rate_updated_at: float = field(default=0.0)

    def was_contacted(self, within_s, now):
        """Return whether the latest contact was at most *within_s* seconds ago."""
        return now - self.contacted_at <= within_s

    def record_report(self, running, waiting, now):
        """Store the request counts that the upstream reported."""
        self.running = running
        self.waiting = waiting
        self.in_flight_at_report = self.in_flight
        self.reported_at = now

    def record_response(self, latency_s):
        """Add an answer that took *latency_s*."""
        self.answers += 1
        if self.answers == 1:
            self.mean_latency_s = latency_s
        else:
            self.mean_latency_s += LATENCY_WEIGHT * (latency_s - self.mean_latency_s)

    def record_success(self, now):
        """Record a complete answer without an error."""
        self._decay_failure_rate(now)
        self._failure_rate *= 1 - FAILURE_WEIGHT

    def record_failure(self, now):
        """Record a request that got no answer, a truncated one or an error."""
        self._decay_failure_rate(now)
        self._failure_rate += FAILURE_WEIGHT * (1 - self._failure_rate)

    def forget_answers(self):
        """Forget latencies and failures; the next answer counts as the first one."""
        self.answers = 0
        self.mean_latency_s = 0.0
        self._failure_rate = 0.0

    def record_slowdown(self, slowdown, now):
        """Add the slowdown of one gap between events, 1 for unloaded."""
        previous = self.measure_slowdown(now)
        self.slowdown = previous + SLOWDOWN_WEIGHT * (slowdown - previous)
        self.slowdown_updated_at = now

    def set_slowdown(self, slowdown, now):
        """Replace the slowdown by the value that another instance sent."""
        self.slowdown = slowdown
        self.slowdown_updated_at = now

    def measure_slowdown(self, now):
        """Return the slowdown at *now*, at least 1; it decays towards 1."""
        age_s = max(0.0, now - self.slowdown_updated_at)
        return 1.0 + (self.slowdown - 1.0) * 0.5 ** (age_s / SLOWDOWN_HALF_LIFE_S)

    def estimate_failure_rate(self, now):
        """Return the estimated failure rate of answers, from 0 to 1."""
        age_s = max(0.0, now - self._failure_rate_updated_at)
        return self._failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def estimate_requests(self, now, known_others=0):
        """Return the estimated number of requests of all instances there.

        *known_others* is the least number of requests of other instances.
        """
        age_s = max(0.0, now - self.reported_at)
        report_weight = 0.5 ** (age_s / REPORT_HALF_LIFE_S)
        other_requests = max(0, self.running + self.waiting - self.in_flight_at_report)
        return self.in_flight + max(known_others, other_requests * report_weight)

    def _decay_failure_rate(self, now):
        self._failure_rate = self.estimate_failure_rate(now)
        self._failure_rate_updated_at = now

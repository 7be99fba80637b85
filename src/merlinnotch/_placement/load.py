"""How busy an upstream is, from its own words and from our requests."""

import math
from dataclasses import dataclass, field

from .backlog import Backlog
from .cache import PrefixCache

REPORT_HALF_LIFE_S = 1.0
"""A load report counts half after this time; others change the load meanwhile."""
FAILURE_HALF_LIFE_S = 3.0
"""A failure counts half after this time: an upstream that came back is in full
use again after some ten seconds, one that fails on is found within a few."""
FAILURE_WEIGHT = 0.34
"""Share of its answers that one failure makes an upstream seem to fail; three
in a row make it the last choice."""
SLOWDOWN_HALF_LIFE_S = 2.0
"""What was seen of an engine's pace counts half after this time: prompts that
held it up have been read by then."""
SLOWDOWN_WEIGHT = 0.08
"""Weight of the newest gap between events; an engine with ten streams shows a
hundred a second."""
LATENCY_WEIGHT = 0.2
"""Weight of the newest answer in the mean time of answers."""


@dataclass
class UpstreamLoad:
    """What one instance knows of one upstream. Times in seconds.

    *backlog* are the prompts that all instances sent there to be read. *running*
    and *waiting* are the upstream's own words at *reported_at*, *own_then* our
    requests at that time.
    *reachable* is false from a failed connection until one comes about.
    *order* decides between upstreams that are as good as each other.
    *slowdown* is how many times slower than unloaded its streams went at
    *paced_at*.
    """

    cache: PrefixCache
    order: float = 0.0
    in_flight: int = 0
    backlog: Backlog = field(default_factory=Backlog)
    running: int = 0
    waiting: int = 0
    own_then: int = 0
    reported_at: float = -math.inf
    latency_s: float = 0.0
    answers: int = 0
    reachable: bool = True
    slowdown: float = 1.0
    paced_at: float = -math.inf
    _failing: float = field(default=0.0)
    _failed_at: float = field(default=0.0)

    def note_report(self, running, waiting, now):
        """Take the upstream's own words of its load."""
        self.running = running
        self.waiting = waiting
        self.own_then = self.in_flight
        self.reported_at = now

    def note_answer(self, seconds):
        """Count an answer that took *seconds*."""
        self.answers += 1
        if self.answers == 1:
            self.latency_s = seconds
        else:
            self.latency_s += LATENCY_WEIGHT * (seconds - self.latency_s)

    def note_success(self, now):
        """An answer was whole and no failure."""
        self._decay(now)
        self._failing *= 1 - FAILURE_WEIGHT

    def note_failure(self, now):
        """A request was lost, cut or failed there."""
        self._decay(now)
        self._failing += FAILURE_WEIGHT * (1 - self._failing)

    def note_slowdown(self, slowdown, now):
        """Take how many times slower than unloaded a stream went on there."""
        known = self.measure_slowdown(now)
        self.slowdown = known + SLOWDOWN_WEIGHT * (slowdown - known)
        self.paced_at = now

    def set_slowdown(self, slowdown, now):
        """Take another instance's word of how slow streams are there."""
        self.slowdown = slowdown
        self.paced_at = now

    def measure_slowdown(self, now):
        """Return how many times slower than unloaded streams are there, from 1."""
        age = max(0.0, now - self.paced_at)
        return 1.0 + (self.slowdown - 1.0) * 0.5 ** (age / SLOWDOWN_HALF_LIFE_S)

    def measure_failing(self, now):
        """Return the share of answers that seem to fail, from 0 to 1."""
        age = max(0.0, now - self._failed_at)
        return self._failing * 0.5 ** (age / FAILURE_HALF_LIFE_S)

    def estimate_busy(self, now):
        """Return how many requests are probably there, ours and others'."""
        age = max(0.0, now - self.reported_at)
        trust = 0.5 ** (age / REPORT_HALF_LIFE_S)
        others = max(0, self.running + self.waiting - self.own_then)
        return self.in_flight + others * trust

    def _decay(self, now):
        self._failing = self.measure_failing(now)
        self._failed_at = now

"""Choosing the upstream for one request."""

import math
import random
from dataclasses import dataclass

from .._fleet.cold import ColdBook
from .._rendezvous import rank_first
from .slots import measure_slot_ms

ZONE_PENALTY_MS = 3.0
"""A request stays in its zone unless another upstream is that much sooner: the
way there and back takes 1 to 2 ms and its bytes are paid for."""
STEP_MS_PER_REQUEST = 4.0
"""What each request on an engine adds to the time to another one's first event:
a longer step for all that run, and a place in the queue now and then."""
FAILURE_MS = 4000.0
"""What a failed answer costs its caller: most of the goal of a slow kind."""
HOME_SHARE = 0.6
"""Part of a shared prompt that is taken to be cached at its home upstream,
where other instances send the same prompt."""
COLD_MS = 30.0
MOST_WEIGHED = 12
"""Up to this many engines all are weighed: the few instances before them tell each
other at once what they send."""
DRAWN = 4
DRAWN_NEAR = 3
"""Engines drawn where there are more, and how many of them in the own availability
zone at most; the rest lets a busy zone's requests find the engines of a quiet one."""


@dataclass(frozen=True)
class Work:
    """What a request asks of an upstream.

    *prompt* and *model* are empty for a plain service. *home_key* names the
    shared part of the prompt that decides where it is at home.
    """

    prompt: tuple = ()
    model: str | None = None

    @property
    def home_key(self):
        """The longest chain of shared parts; the last part is the caller's own."""
        return "/".join(part.id for part in self.prompt[:-1])


@dataclass(frozen=True)
class Estimate:
    """How long an upstream probably reads before the first event, in milliseconds.

    *missing_tokens* of the prompt are not cached there; *queued_ms* is the
    reading for other requests that goes first.
    """

    missing_tokens: float = 0.0
    reading_ms: float = 0.0
    queued_ms: float = 0.0

    @property
    def wait_s(self):
        """The seconds until the first event."""
        return (self.reading_ms + self.queued_ms) / 1000.0


class Placer:
    """Picks the upstream from which the first event is expected soonest.

    Of many engines only a few are weighed, drawn anew for each request: what is known
    of them is as old as the last news, and all that choose the best one by the same
    news choose it together (benchmarks.full_batches). *cold* is a :class:`ColdBook`.
    """

    def __init__(self, zone, loads, paces, generator=random, cold=None):
        self._zone = zone
        self._loads = loads
        self._paces = paces
        self._generator = generator
        self._cold = cold or ColdBook()

    def pick(self, candidates, work, now):
        """Return the best of *candidates*, or None where there is none."""
        if not candidates:
            return None
        reachable = self._loads.list_reachable(candidates) or candidates
        if work.model is None:
            return self._pick_least(reachable, lambda u: self._rate_plain(u, now))
        home = _find_home(reachable, work.home_key)
        return self._pick_least(
            self._draw(reachable, work, home),
            lambda u: self._rate_engine(u, work, home, now),
        )

    def list_reachable(self, upstreams):
        """Return those of *upstreams* that can be connected to, as far as known."""
        return self._loads.list_reachable(upstreams)

    def count_missing(self, upstream, work, home=None):
        """Return the tokens of the prompt that *upstream* probably has to read."""
        cache = self._loads.get(upstream).cache
        missing = cache.count_missing(work.model, work.prompt)
        if upstream is home and work.prompt:
            own = work.prompt[-1].tokens
            missing = own + (missing - own) * (1 - HOME_SHARE)
        return missing

    def estimate(self, upstream, work, now):
        """Return the :class:`Estimate` of *work* at *upstream*."""
        if work.model is None:
            return Estimate()
        missing = self.count_missing(upstream, work)
        return Estimate(
            missing,
            missing * self._paces.get(work.model),
            self._loads.get(upstream).backlog.measure(now),
        )

    def _draw(self, upstreams, work, home):
        """Return the engines to weigh: a few at random, and who may hold the prompt."""
        if len(upstreams) <= MOST_WEIGHED:
            return upstreams
        near = [u for u in upstreams if u.zone == self._zone]
        far = [u for u in upstreams if u.zone != self._zone]
        drawn = self._sample(near, DRAWN_NEAR)
        drawn += self._sample(far, DRAWN - len(drawn))
        if home is not None:
            drawn.append(home)
        return drawn

    def _sample(self, upstreams, count):
        return self._generator.sample(upstreams, min(count, len(upstreams)))

    def _pick_least(self, upstreams, rate):
        return min(upstreams, key=lambda u: (rate(u), self._loads.get(u).order))

    def _rate_plain(self, upstream, now):
        load = self._loads.get(upstream)
        busy = load.estimate_busy(now) / max(1, upstream.slots)
        cost = load.latency_s * 1000.0 * (1.0 + 2.0 * busy)
        cost += FAILURE_MS * load.measure_failing(now)
        if self._cold.measure_left(upstream.start, now) > 0.0:
            cost += COLD_MS
        return cost + self._zone_cost(upstream)

    def _rate_engine(self, upstream, work, home, now):
        load = self._loads.get(upstream)
        missing = self.count_missing(upstream, work, home)
        reading = missing * self._paces.get(work.model) + load.backlog.measure(now)
        busy = load.estimate_busy(now)
        batch = busy * STEP_MS_PER_REQUEST + self._estimate_slot_wait(upstream, busy)
        waiting = load.waiting * STEP_MS_PER_REQUEST
        failing = FAILURE_MS * load.measure_failing(now)
        return reading + batch + waiting + failing + self._zone_cost(upstream)

    def _estimate_slot_wait(self, upstream, busy):
        """Return the milliseconds until a slot in the batch is free, as expected.

        *busy* is an estimate; it is reckoned to be too low by its square root, as
        counts of independent arrivals are.
        """
        beyond = busy + math.sqrt(max(0.0, busy)) - upstream.slots
        return max(0.0, beyond) * measure_slot_ms(upstream.slots)

    def _zone_cost(self, upstream):
        return 0.0 if upstream.zone == self._zone else ZONE_PENALTY_MS


def _find_home(candidates, key):
    """Return the upstream where prompts that begin with *key* are at home.

    Rendezvous hashing: every instance finds the same one without a word, and
    a change of the list moves only what has to move.
    """
    if not key:
        return None
    by_id = {upstream.id: upstream for upstream in candidates}
    return by_id[rank_first(key, by_id)]

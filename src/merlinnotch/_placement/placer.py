"""Selection of the upstream for one request."""

import functools
import math
import random
from dataclasses import dataclass

from .._fleet.cold import ColdPeriods
from .._rendezvous_hashing import get_highest_ranked
from .cache import list_prefixes
from .load_policy import Feature, LoadPolicy
from .slots import estimate_slot_interval_ms
from .spread import compute_fill
from .work_times import WorkTimes

CROSS_ZONE_PENALTY_MS = 3.0
"""Cost of leaving the zone: a round trip of 1 to 2 ms and billed traffic."""
DELAY_MS_PER_REQUEST = 4.0
"""Delay that each request on an engine adds to the first event of another one, by
longer batch steps and by queueing."""
FAILURE_PENALTY_MS = 4000.0
"""Cost of a certain failure; scaled by the failure rate of the upstream."""
AFFINITY_HIT_RATE = 0.6
"""Fraction of a shared prefix that is assumed to be cached at its affinity upstream,
to which other instances send the same prefix."""
COLD_PENALTY_MS = 30.0
MAX_EXHAUSTIVE_CANDIDATES = 12
"""Largest number of engines that are all compared for a request; of more, a random
sample is."""
SAMPLE_SIZE = 4
MAX_LOCAL_SAMPLE = 3
"""Size of the random sample of a larger set, and the maximum from the own availability
zone; the others let requests of a busy zone reach engines of an idle one."""

MAX_UNKNOWN_S = 2.0
"""Largest age of a report for which requests of others are expected to have gone on."""
MIN_REQUEST_COST_MS = 0.001


@dataclass(frozen=True)
class PlacementRequest:
    """The input to placement: the parts of a prompt, and the model that runs it.

    *prompt* is empty and *model* None for a service that is not an engine.
    """

    prompt: tuple = ()
    model: str | None = None

    @property
    def affinity_key(self):
        """Key of the shared prefix; the last part is unique to the request."""
        return "/".join(part.id for part in self.prompt[:-1])

    @functools.cached_property
    def prefixes(self):
        """The prefixes of the prompt, as :class:`PrefixCache` takes them."""
        return list_prefixes(self.model, self.prompt)


@dataclass(frozen=True)
class Estimate:
    """Estimated prefill before the first event at one upstream.

    *uncached_tokens* is the number of uncached tokens of the prompt and *prefill_ms*
    their prefill time; *queued_prefill_ms* is the prefill time of requests ahead of it.
    """

    uncached_tokens: float = 0.0
    prefill_ms: float = 0.0
    queued_prefill_ms: float = 0.0

    @property
    def time_to_first_event_s(self):
        """Seconds until the first event."""
        return (self.prefill_ms + self.queued_prefill_ms) / 1000.0


class Placer:
    """Picks the upstream with the lowest estimated time to the first event.

    Of many engines only a random sample is compared for each request. Load reports
    are delayed, so instances that compared all engines would send their requests to
    the same one at once. *cold* is a :class:`ColdPeriods`.

    Where *load_policy* asks for it, plain upstreams are compared by their work times,
    a :class:`WorkTimes`, and all upstreams by the requests in flight of all instances,
    from *totals*, a :class:`FleetTotals`.
    """

    def __init__(
        self,
        zone,
        loads,
        prefill_rates,
        generator=random,
        cold=None,
        work_times=None,
        load_policy=None,
        totals=None,
    ):
        self._zone = zone
        self._loads = loads
        self._prefill_rates = prefill_rates
        self._generator = generator
        self._cold = cold or ColdPeriods()
        self._work_times = work_times or WorkTimes()
        self._load_policy = load_policy or LoadPolicy()
        self._totals = totals

    def pick(self, candidates, request, now):
        """Return the best of *candidates*, or None if it is empty."""
        if not candidates:
            return None
        reachable = self._loads.list_reachable(candidates) or candidates
        if request.model is None:
            return self._pick_plain(reachable, now)
        affinity_upstream = _find_affinity_upstream(reachable, request.affinity_key)
        return self._pick_cheapest(
            self._sample_candidates(reachable, request, affinity_upstream),
            lambda u: self._estimate_engine_cost_ms(u, request, affinity_upstream, now),
        )

    def list_reachable(self, upstreams):
        """Return those of *upstreams* whose last connection did not fail."""
        return self._loads.list_reachable(upstreams)

    def count_uncached(self, upstream, request, affinity_upstream=None):
        """Return the expected number of prompt tokens to prefill at *upstream*."""
        cache = self._loads.get(upstream).cache
        uncached = cache.count_uncached(request.prefixes)
        if upstream is affinity_upstream and request.prompt:
            own_tokens = request.prompt[-1].tokens
            uncached = own_tokens + (uncached - own_tokens) * (1 - AFFINITY_HIT_RATE)
        return uncached

    def estimate(self, upstream, request, now):
        """Return the :class:`Estimate` of *request* at *upstream*."""
        if request.model is None:
            return Estimate()
        uncached = self.count_uncached(upstream, request)
        return Estimate(
            uncached,
            uncached * self._prefill_rates.get(request.model),
            self._loads.get(upstream).backlog.measure(now),
        )

    def _sample_candidates(self, upstreams, request, affinity_upstream):
        """Return the engines to compare: a random sample and *affinity_upstream*."""
        if len(upstreams) <= MAX_EXHAUSTIVE_CANDIDATES:
            return upstreams
        local = [u for u in upstreams if u.zone == self._zone]
        remote = [u for u in upstreams if u.zone != self._zone]
        sample = self._sample_at_most(local, MAX_LOCAL_SAMPLE)
        sample += self._sample_at_most(remote, SAMPLE_SIZE - len(sample))
        if affinity_upstream is not None:
            sample.append(affinity_upstream)
        return sample

    def _sample_at_most(self, upstreams, count):
        return self._generator.sample(upstreams, min(count, len(upstreams)))

    def _pick_cheapest(self, upstreams, get_cost):
        return min(
            upstreams, key=lambda u: (get_cost(u), self._loads.get(u).tie_breaker)
        )

    def _pick_plain(self, upstreams, now):
        """Return the cheapest upstream, or with old reports one of the cheaper ones.

        The requests that other instances have sent since the reports are expected to
        fill the cheaper upstreams to equal costs. This request goes to each of them
        with the probability of theirs, as all instances that pick the cheapest one
        by the same old report overfill it.
        """
        weights = self._weigh_plain(upstreams, now)
        if sum(weights) <= 0.0:
            return self._pick_cheapest(
                upstreams, lambda u: self._estimate_service_cost_ms(u, now)
            )
        return self._generator.choices(upstreams, weights)[0]

    def _weigh_plain(self, upstreams, now):
        """Return the weights of *upstreams*, none if the cheapest is to be picked.

        Only under admission are upstreams kept so full that a choice by the same old
        report overfills one of them.
        """
        service = upstreams[0].service
        features = (Feature.WORK_TIMES, Feature.ADMISSION)
        if not all(self._load_policy.is_on(f, service, now) for f in features):
            return ()
        unknown = sum(self._estimate_unknown(u, now) for u in upstreams)
        if unknown <= 0.0:
            return ()
        costs = [self._estimate_service_cost_ms(u, now) for u in upstreams]
        slopes = [self._estimate_request_cost_ms(u, now) for u in upstreams]
        return compute_fill(costs, slopes, unknown)

    def _estimate_unknown(self, upstream, now):
        """Return the requests that others are expected to have sent since a report."""
        load = self._loads.get(upstream)
        others = self._count_requests(upstream, load, now) - load.in_flight
        work_s = self._estimate_work_ms(upstream, now) / 1000.0
        if others <= 0.0 or work_s <= 0.0:
            return 0.0
        age_s = min(MAX_UNKNOWN_S, max(0.0, now - load.reported_at))
        return min(others, upstream.slots) * age_s / work_s

    def _estimate_request_cost_ms(self, upstream, now):
        """Return what each request at a plain upstream adds to its cost."""
        work_ms = self._estimate_work_ms(upstream, now)
        return max(MIN_REQUEST_COST_MS, work_ms / max(1, upstream.slots))

    def _estimate_service_cost_ms(self, upstream, now):
        load = self._loads.get(upstream)
        cost_ms = self._estimate_answer_ms(upstream, load, now)
        cost_ms += FAILURE_PENALTY_MS * load.estimate_failure_rate(now)
        if self._cold.get_remaining_s(upstream.start, now) > 0.0:
            cost_ms += COLD_PENALTY_MS
        return cost_ms + self._get_zone_penalty_ms(upstream)

    def _count_requests(self, upstream, load, now):
        """Return the estimated number of requests of all instances at *upstream*."""
        known_others = 0
        if self._uses_totals(upstream, now):
            known_others = self._totals.get_in_flight(upstream.start, now) or 0
        return load.estimate_requests(now, known_others)

    def _uses_totals(self, upstream, now):
        is_on = self._load_policy.is_on(Feature.WORK_TIMES, upstream.service, now)
        return is_on and self._totals is not None

    def _estimate_answer_ms(self, upstream, load, now):
        """Return the expected milliseconds until a plain upstream answers."""
        requests = self._count_requests(upstream, load, now)
        load_per_slot = requests / max(1, upstream.slots)
        if not self._load_policy.is_on(Feature.WORK_TIMES, upstream.service, now):
            return load.mean_latency_s * 1000.0 * (1.0 + 2.0 * load_per_slot)
        work_ms = self._estimate_work_ms(upstream, now)
        queued = max(0.0, requests + 1.0 - upstream.slots)
        # A request beyond the slots waits for the first of them to become free.
        wait_ms = work_ms * queued / max(1, upstream.slots)
        return work_ms * (1.0 + load_per_slot) + wait_ms

    def _estimate_work_ms(self, upstream, now):
        work_s = self._work_times.estimate_s(upstream, now)
        return work_s * self._work_times.get_pace(upstream, now) * 1000.0

    def _estimate_engine_cost_ms(self, upstream, request, affinity_upstream, now):
        load = self._loads.get(upstream)
        uncached = self.count_uncached(upstream, request, affinity_upstream)
        prefill_ms = uncached * self._prefill_rates.get(request.model)
        request_count = self._count_requests(upstream, load, now)
        batch_ms = request_count * DELAY_MS_PER_REQUEST
        queue_ms = (
            load.waiting * DELAY_MS_PER_REQUEST
            + load.backlog.measure(now)
            + self._estimate_slot_wait_ms(upstream, request_count)
        )
        failure_ms = FAILURE_PENALTY_MS * load.estimate_failure_rate(now)
        return (
            prefill_ms
            + batch_ms
            + queue_ms
            + failure_ms
            + self._get_zone_penalty_ms(upstream)
        )

    def _estimate_slot_wait_ms(self, upstream, request_count):
        """Return the expected milliseconds until a slot in the batch is free.

        *request_count* is an estimate, so one standard deviation of a Poisson
        distribution is added to it.
        """
        excess = request_count + math.sqrt(max(0.0, request_count)) - upstream.slots
        return max(0.0, excess) * estimate_slot_interval_ms(upstream.slots)

    def _get_zone_penalty_ms(self, upstream):
        return 0.0 if upstream.zone == self._zone else CROSS_ZONE_PENALTY_MS


def _find_affinity_upstream(candidates, key):
    """Return the upstream that prefers prompts with the shared prefix *key*, or None.

    By rendezvous hashing all instances select the same upstream without coordination,
    and a change of *candidates* remaps as few keys as possible.
    """
    if not key:
        return None
    by_id = {upstream.id: upstream for upstream in candidates}
    return by_id[get_highest_ranked(key, by_id)]

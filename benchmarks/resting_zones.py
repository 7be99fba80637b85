"""Simulation of callers while availability zones of upstreams rest.

Run with ``python -m benchmarks.resting_zones``.

8 instances send to 12 upstreams in four zones. Each upstream has 4 slots, of which 60%
are in use on average, and as many places in its queue. For 3 s all upstreams of some
zones turn requests away and ask for a rest. An upstream with a full queue turns them
away without one. Notices, choice, placement, retry budgets and refusals are the
production code. Callers repeat refused requests after Retry-After until their deadline.
Prints what callers get if instances ignore the notices and if they keep to them.
"""

import collections
import heapq
import itertools
import json
import random
from dataclasses import dataclass, field

from merlinnotch._errors import RequestRefused
from merlinnotch._fleet.mirror import KeyChange
from merlinnotch._gateway.refusals import build_refusal
from merlinnotch._http import Fields
from merlinnotch._store import Item

from .resting_fleet import (
    INSTANCES_PER_ZONE,
    RESTS_FROM,
    RESTS_UNTIL,
    SERVICE,
    SERVICE_TIME_S,
    SLOTS,
    UPSTREAMS_PER_ZONE,
    ZONES,
    LoadReport,
    SimulatedInstance,
    SimulatedUpstream,
)

UTILIZATION = 0.6
SEED = 5
DURATION_S = 10.0
WARM_UP_S = 1.0
REACTION_S = 0.5
"""Time within which an instance applies the rest that it was turned away with."""
CALLER_TIMEOUT_S = 4.0
ROUND_TRIP_S = 0.001


@dataclass(frozen=True)
class Phase:
    """A phase of the simulation, from *start* to *end*."""

    name: str
    start: float
    end: float


BEFORE_REST = Phase("before the rest", WARM_UP_S, RESTS_FROM)
IN_REST = Phase("in the rest", RESTS_FROM, RESTS_UNTIL)
AFTER_REST = Phase("after the rest", RESTS_UNTIL, DURATION_S)


@dataclass
class CallerRequest:
    """A caller's request and what became of it.

    *call_times* holds the times of its calls to instances, *retry_times* those of
    further sends to upstreams within a call. *refusal_delays_s* holds how long each
    refusal took.
    """

    arrived_at: float
    send_count: int = 0
    is_served: bool = False
    call_times: list[float] = field(default_factory=list)
    retry_times: list[float] = field(default_factory=list)
    refusal_delays_s: list[float] = field(default_factory=list)

    @property
    def deadline(self):
        """The time at which the caller gives up."""
        return self.arrived_at + CALLER_TIMEOUT_S


@dataclass(frozen=True)
class Send:
    """A request that reached an upstream, which ran it unless it rested or was full."""

    instance: str
    upstream: str
    zone: str
    at: float
    is_resting: bool
    is_run: bool


class RestSimulation:
    """Discrete-event simulation in which the upstreams of *resting_zones* rest."""

    def __init__(self, resting_zones, records_notices=True, seed=SEED):
        self._generator = random.Random(seed)
        self._events = []
        self._sequence = itertools.count()
        self._upstreams = {}
        self._instances = []
        for zone in ZONES:
            for number in range(INSTANCES_PER_ZONE):
                generator = random.Random(f"{seed} {zone} {number}")
                name = f"{zone}-{number}"
                self._instances.append(
                    SimulatedInstance(name, zone, generator, records_notices)
                )
        for zone, number in itertools.product(ZONES, range(UPSTREAMS_PER_ZONE)):
            self._add_upstream(f"u-{zone}-{number}", zone, zone in resting_zones)
        slots = SLOTS * len(self._upstreams)
        self._rate_per_s = UTILIZATION * slots / SERVICE_TIME_S
        self.requests = []
        self.sends = []

    def run(self):
        """Run until each caller's request is served or given up; return self."""
        self._schedule(0.0, self._handle_arrival)
        while self._events:
            now, _, handler, args = heapq.heappop(self._events)
            handler(now, *args)
        return self

    def count_most_in_rest(self):
        """Return the most sends by one instance to an upstream that it knew to rest."""
        sends_by_link = collections.defaultdict(list)
        for send in self.sends:
            if send.is_resting:
                sends_by_link[send.instance, send.upstream].append(send)
        return max(
            sum(send.at > sends[0].at + REACTION_S for send in sends)
            for sends in sends_by_link.values()
        )

    def count_runs(self, zones, phase):
        """Return how many requests the upstreams of *zones* ran in *phase*."""
        return sum(
            send.is_run and send.zone in zones and phase.start <= send.at < phase.end
            for send in self.sends
        )

    def list_requests(self, phase):
        """Return the requests that arrived in *phase*."""
        return [r for r in self.requests if phase.start <= r.arrived_at < phase.end]

    def _add_upstream(self, upstream_id, zone, rests):
        entry = {
            "service": SERVICE,
            "address": "10.0.0.1:80",
            "zone": zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
        }
        key = f"servers/{upstream_id}"
        item = Item(key, json.dumps(entry).encode(), 1)
        for instance in self._instances:
            instance.view.apply([KeyChange(key, item)], 0.0)
        self._upstreams[upstream_id] = SimulatedUpstream(rests)

    def _schedule(self, at, handler, *args):
        heapq.heappush(self._events, (at, next(self._sequence), handler, args))

    def _handle_arrival(self, now):
        next_at = now + self._generator.expovariate(self._rate_per_s)
        if next_at < DURATION_S:
            self._schedule(next_at, self._handle_arrival)
        request = CallerRequest(now)
        self.requests.append(request)
        self._call(now, request)

    def _call(self, now, request):
        request.call_times.append(now)
        instance = self._generator.choice(self._instances)
        call = instance.start_call(request, next(self._sequence), now)
        self._send(now, instance, call)

    def _send(self, now, instance, call):
        try:
            upstream = instance.choose_upstream(call, now)
        except RequestRefused as error:
            self._refuse(now, call, error)
            return
        call.request.send_count += 1
        if call.send_count > 1:
            call.request.retry_times.append(now)
        instance.loads.get(upstream).in_flight += 1
        arrives_at = now + ROUND_TRIP_S / 2.0
        self._schedule(arrives_at, self._receive, instance, call, upstream)

    def _receive(self, now, instance, call, upstream):
        state = self._upstreams[upstream.id]
        rest_s = state.get_rest_s(now)
        state.remove_finished(now)
        is_run = rest_s <= 0.0 and not state.is_full
        self.sends.append(
            Send(instance.name, upstream.id, upstream.zone, now, rest_s > 0.0, is_run)
        )
        report = LoadReport(state.running, state.waiting)
        if not is_run:
            pairs = [("retry-after", f"{rest_s:.2f}")] if rest_s > 0.0 else []
            fields = Fields(pairs)
            args = (instance, call, upstream, fields, report)
            self._schedule(now + ROUND_TRIP_S / 2.0, self._handle_refusal, *args)
            return
        duration_s = SERVICE_TIME_S * self._generator.uniform(0.5, 1.5)
        ends_at = state.add(duration_s, now)
        self._schedule(ends_at, self._complete, instance, call, upstream, now)

    def _handle_refusal(self, now, instance, call, upstream, fields, report):
        instance.record_refusal(call, upstream, fields, report, now)
        self._send(now, instance, call)

    def _complete(self, now, instance, call, upstream, started_at):
        state = self._upstreams[upstream.id]
        state.remove_finished(now)
        report = LoadReport(state.running, state.waiting)
        instance.record_response(upstream, now - started_at, report, now)
        call.request.is_served = True

    def _refuse(self, now, call, error):
        request = call.request
        request.refusal_delays_s.append(now - call.arrived_at)
        remaining_s = call.get_remaining_s(now)
        _, pairs, _ = build_refusal(error, remaining_s, self._generator)
        retry_at = now + float(dict(pairs)["retry-after"])
        if retry_at < request.deadline:
            self._schedule(retry_at, self._call, request)


def summarize(requests):
    """Return a line on what the callers of *requests* got."""
    served_count = sum(request.is_served for request in requests)
    refusal_count = sum(len(request.refusal_delays_s) for request in requests)
    send_count = sum(request.send_count for request in requests)
    return (
        f"{len(requests)} requests, {served_count} served, "
        f"{len(requests) - served_count} given up, {refusal_count} refusals, "
        f"{send_count / len(requests):.2f} sends per request"
    )


def main():
    """Print what callers get that arrive before, in and after the rest."""
    for resting_zones in (ZONES[:2], ZONES):
        for records_notices in (False, True):
            simulation = RestSimulation(resting_zones, records_notices).run()
            print(
                f"{len(resting_zones)} of {len(ZONES)} zones rest, notices "
                f"{'recorded' if records_notices else 'ignored'}; at most "
                f"{simulation.count_most_in_rest()} sends by one instance to an "
                f"upstream that it knew to rest"
            )
            for phase in (BEFORE_REST, IN_REST, AFTER_REST):
                print(f"  {phase.name}: {summarize(simulation.list_requests(phase))}")


if __name__ == "__main__":
    main()

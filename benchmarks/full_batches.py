"""Simulation of waiting times for batch slots in a fleet of 192 instances.

Run with ``python -m benchmarks.full_batches``.

62 engines in six zones have 12 slots each, of which 45% are in use on average. The
requests are short responses, and streams of several seconds from larger models.
Placement and load messages are the production code, over an in-memory network; engines
report their load in the head of each response. Prints the time that requests waited for
a slot, and the ratio of the busiest engine's load to the mean, for three fixed seeds.
"""

import heapq
import itertools
import random
import statistics
from dataclasses import dataclass, field

from merlinnotch._fleet import Engine, Upstream
from merlinnotch._placement import LoadTable, PlacementRequest, Placer, PrefillRates
from merlinnotch.platform.headers import PromptPart

from .load_network import LoadNetwork

ZONES = ("a", "b", "c", "d", "e", "f")
INSTANCES = 192
ENGINES = 62
SLOTS = 12
SEED = 11
DURATION_S = 14.0
WARM_UP_S = 4.0
EXCHANGE_INTERVAL_S = 0.2
PREFILL_MS_PER_TOKEN = 0.05
ENGINE = Engine(SLOTS, 400_000, {"large": 0.24})


@dataclass(frozen=True)
class RequestClass:
    """Requests of similar size.

    They arrive as a Poisson process at *rate_per_s*. *decode_s* is the mean generation
    time in seconds.
    """

    rate_per_s: float
    prompt_tokens: int
    decode_s: float


REQUEST_CLASSES = (
    RequestClass(104.0, 400, 0.2),
    RequestClass(120.0, 1000, 0.4),
    RequestClass(30.0, 826, 3.5),
    RequestClass(30.0, 12_000, 4.0),
)


@dataclass
class Batch:
    """End times of an engine's running requests, and start times of waiting ones.

    *end_times* is a heap. Times are in seconds of simulated time.
    """

    end_times: list = field(default_factory=list)
    waiting_start_times: list = field(default_factory=list)

    def add(self, duration_s, now):
        """Add a request that runs for *duration_s*; return when it gets a slot."""
        self.remove_finished(now)
        start = now
        if len(self.end_times) >= SLOTS:
            start = heapq.heappop(self.end_times)
        self.waiting_start_times = [t for t in self.waiting_start_times if t > now]
        if start > now:
            self.waiting_start_times.append(start)
        heapq.heappush(self.end_times, start + duration_s)
        return start

    def remove_finished(self, now):
        """Free the slots of finished requests."""
        while self.end_times and self.end_times[0] <= now:
            heapq.heappop(self.end_times)

    def count(self, now):
        """Return the number of running requests, and of waiting ones."""
        self.remove_finished(now)
        self.waiting_start_times = [t for t in self.waiting_start_times if t > now]
        return len(self.end_times), len(self.waiting_start_times)


class FleetSimulation:
    """Discrete-event simulation of a fleet over a :class:`LoadNetwork`."""

    def __init__(self, seed=SEED):
        zones = itertools.cycle(ZONES)
        self._upstreams = [
            Upstream(f"u-{n}", "s", f"10.0.0.{n}:80", next(zones), "v1", SLOTS)
            for n in range(ENGINES)
        ]
        self._upstreams_by_id = {u.id: u for u in self._upstreams}
        self._batches = {u.id: Batch() for u in self._upstreams}
        self._network = LoadNetwork(INSTANCES, ZONES, self._upstreams)
        self._network.on_update = self._receive_update
        self._generator = random.Random(seed)
        self._loads = {}
        self._placers = {}
        for number, instance_name in enumerate(self._network.load_exchanges):
            self._add_instance(instance_name, number)
        self._events = []
        self._sequence = itertools.count()
        self.waits_s = []
        self.same_zone_picks = 0
        self.load_imbalances = []

    def run(self):
        """Run the simulation; return each request's wait for a slot in seconds."""
        for request_class in REQUEST_CLASSES:
            self._schedule(
                self._draw_interarrival_s(request_class),
                self._handle_arrival,
                request_class,
            )
        self._schedule(EXCHANGE_INTERVAL_S, self._exchange_updates)
        while self._events[0][0] < DURATION_S:
            now, _, handler, args = heapq.heappop(self._events)
            self._network.now = now
            handler(now, *args)
        return self.waits_s

    def _add_instance(self, instance_name, number):
        loads = LoadTable(lambda service: ENGINE, random.Random(number))
        prefill_rates = PrefillRates()
        prefill_rates.record("large", 10_000, 10_000 * PREFILL_MS_PER_TOKEN / 1000.0)
        self._loads[instance_name] = loads
        generator = random.Random(1000 + number)
        self._placers[instance_name] = Placer(
            instance_name.split("-")[0], loads, prefill_rates, generator
        )

    def _schedule(self, at, handler, *args):
        heapq.heappush(self._events, (at, next(self._sequence), handler, args))

    def _draw_interarrival_s(self, request_class):
        return self._generator.expovariate(request_class.rate_per_s)

    def _handle_arrival(self, now, request_class):
        self._schedule(
            now + self._draw_interarrival_s(request_class),
            self._handle_arrival,
            request_class,
        )
        instance_name = self._generator.choice(list(self._placers))
        prompt = (PromptPart(f"{next(self._sequence)}", request_class.prompt_tokens),)
        request = PlacementRequest(prompt, "large")
        upstream = self._placers[instance_name].pick(self._upstreams, request, now)
        self.same_zone_picks += upstream.zone == instance_name.split("-")[0]
        load = self._loads[instance_name].get(upstream)
        prefill_s = request_class.prompt_tokens * PREFILL_MS_PER_TOKEN / 1000.0
        load.backlog.record(prefill_s * 1000.0, now)
        load.in_flight += 1
        self._network.load_exchanges[instance_name].report_prompt(
            upstream, prefill_s * 1000.0
        )
        duration_s = prefill_s + request_class.decode_s * self._generator.uniform(
            0.5, 1.5
        )
        start = self._batches[upstream.id].add(duration_s, now)
        if now > WARM_UP_S:
            self.waits_s.append(start - now)
        self._schedule(
            start + prefill_s, self._handle_response_head, instance_name, upstream
        )
        self._schedule(
            start + duration_s,
            self._handle_completion,
            instance_name,
            upstream,
            start + duration_s - now,
        )

    def _handle_response_head(self, now, instance_name, upstream):
        running, waiting = self._batches[upstream.id].count(now)
        self._loads[instance_name].get(upstream).record_report(running, waiting, now)
        self._network.load_exchanges[instance_name].report_load(
            upstream, running, waiting
        )

    def _handle_completion(self, now, instance_name, upstream, latency_s):
        load = self._loads[instance_name].get(upstream)
        load.in_flight -= 1
        load.record_response(latency_s)

    def _exchange_updates(self, now):
        self._schedule(now + EXCHANGE_INTERVAL_S, self._exchange_updates)
        self._network.exchange()
        request_counts = [sum(batch.count(now)) for batch in self._batches.values()]
        if now > WARM_UP_S:
            self.load_imbalances.append(
                max(request_counts) / statistics.fmean(request_counts)
            )

    def _receive_update(self, instance_name, update):
        upstream = self._upstreams_by_id[update.upstream_id]
        loads = self._loads[instance_name]
        loads.get(upstream).backlog.record(update.prefill_ms, self._network.now)
        if update.running is not None:
            load = loads.get(upstream)
            load.record_report(update.running, update.waiting, self._network.now)


def main():
    """Print waiting times in milliseconds for three seeds."""
    for seed in range(SEED, SEED + 3):
        simulation = FleetSimulation(seed)
        waits_s = simulation.run()
        mean_ms = 1000.0 * statistics.fmean(waits_s)
        late_share = sum(wait > 0.5 for wait in waits_s) / len(waits_s)
        print(
            f"seed {seed}: mean {mean_ms:.0f} ms, "
            f"p99 {1000.0 * statistics.quantiles(waits_s, n=100)[-1]:.0f} ms, "
            f"{100.0 * late_share:.2f} in 100 over 500 ms, "
            f"busiest against mean {statistics.fmean(simulation.load_imbalances):.2f}"
        )


if __name__ == "__main__":
    main()

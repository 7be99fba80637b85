"""Simulation of prompt queueing in a fleet whose instances exchange load updates.

Run with ``python -m benchmarks.shared_load``.

80 instances send prompts of two lengths to 44 engines in four zones, as a Poisson
process. Placement and load messages are the production code, over an in-memory network.
Prints how long prompts waited for the prefill of earlier ones: without load messages,
with sums from other zones, and with updates to all instances. The seed is fixed.
"""

import random
import statistics
from dataclasses import dataclass

from merlinnotch._fleet import Engine, Upstream
from merlinnotch._placement import LoadTable, PlacementRequest, Placer, PrefillRates
from merlinnotch.platform.headers import PromptPart

from .load_network import LoadNetwork

ZONES = ("a", "b", "c", "d")
INSTANCES = 80
ENGINES = 44
SEED = 11
REQUESTS_PER_S = 200.0
DURATION_S = 30.0
EXCHANGE_INTERVAL_S = 0.2
PREFILL_MS_PER_TOKEN = 0.05
SHORT_PROMPT_TOKENS = 1600
LONG_PROMPT_TOKENS = 12_000
LONG_PROMPT_SHARE = 0.1
"""At this share, long and short prompts take similar engine time in total."""
ENGINE = Engine(24, 500_000, {"large": 0.24})


@dataclass
class EngineQueue:
    """Queue of an engine that processes one prompt at a time.

    *idle_at* is when its last prompt ends, in seconds of simulated time.
    """

    idle_at: float = 0.0

    def add(self, prefill_s, now):
        """Add a prompt; return the seconds that it waits for earlier ones."""
        wait_s = max(0.0, self.idle_at - now)
        self.idle_at = max(now, self.idle_at) + prefill_s
        return wait_s


class Instance:
    """The placement of one instance."""

    def __init__(self, name, network, seed):
        generator = random.Random(seed)
        self.loads = LoadTable(lambda service: ENGINE, generator)
        prefill_rates = PrefillRates()
        prefill_rates.record("large", 10_000, 10_000 * PREFILL_MS_PER_TOKEN / 1000.0)
        self.placer = Placer(name.split("-")[0], self.loads, prefill_rates, generator)
        self._load_exchange = network.load_exchanges[name]

    def place(self, request, upstreams, now):
        """Return the chosen upstream, after its load is recorded and sent to others."""
        upstream = self.placer.pick(upstreams, request, now)
        estimate = self.placer.estimate(upstream, request, now)
        self.loads.get(upstream).backlog.record(estimate.prefill_ms, now)
        self._load_exchange.report_prompt(upstream, estimate.prefill_ms)
        return upstream

    def receive_update(self, update, upstreams, now):
        """Record a load update from another instance."""
        upstream = upstreams[update.upstream_id]
        self.loads.get(upstream).backlog.record(update.prefill_ms, now)


class Simulation:
    """Simulation of a fleet whose load messages go over *network*."""

    def __init__(self, network, upstreams):
        self._network = network
        self._upstreams = {u.id: u for u in upstreams}
        self._queues = {u.id: EngineQueue() for u in upstreams}
        self._instances = {
            name: Instance(name, network, seed)
            for seed, name in enumerate(network.load_exchanges)
        }
        network.on_update = self._receive_update

    def run(self, generator):
        """Run the simulation; return each prompt's wait in seconds."""
        waits_s = []
        names = list(self._instances)
        next_exchange_at = 0.0
        now = 0.0
        while now < DURATION_S:
            now += generator.expovariate(REQUESTS_PER_S)
            while next_exchange_at < now:
                self._network.now = next_exchange_at
                self._network.exchange()
                next_exchange_at += EXCHANGE_INTERVAL_S
            self._network.now = now
            instance = self._instances[generator.choice(names)]
            waits_s.append(self._place_prompt(instance, draw_prompt(generator), now))
        return waits_s

    def _place_prompt(self, instance, request, now):
        upstream = instance.place(request, list(self._upstreams.values()), now)
        prefill_s = request.prompt[0].tokens * PREFILL_MS_PER_TOKEN / 1000.0
        return self._queues[upstream.id].add(prefill_s, now)

    def _receive_update(self, name, update):
        self._instances[name].receive_update(update, self._upstreams, self._network.now)


def draw_prompt(generator):
    """Return the :class:`PlacementRequest` of a random prompt that shares no prefix."""
    is_long = generator.random() < LONG_PROMPT_SHARE
    tokens = LONG_PROMPT_TOKENS if is_long else SHORT_PROMPT_TOKENS
    return PlacementRequest((PromptPart(f"{generator.random()}", tokens),), "large")


def simulate_waits(max_direct_fleet_size, sends_updates=True):
    """Return each prompt's wait in seconds.

    Above *max_direct_fleet_size* instances other zones get sums. Without
    *sends_updates* all load messages are dropped.
    """
    upstreams = [
        Upstream(f"u-{n}", "engines", f"10.0.0.{n}:80", ZONES[n % 4], "v1", 24)
        for n in range(ENGINES)
    ]
    network = LoadNetwork(INSTANCES, ZONES, upstreams, max_direct_fleet_size)
    if not sends_updates:
        network.dropped_addresses = set(network.transports)
    return Simulation(network, upstreams).run(random.Random(SEED))


def main():
    """Print the mean and the 95th percentile of waits in milliseconds."""
    results = (
        ("nothing told", simulate_waits(INSTANCES, sends_updates=False)),
        ("zones at once, others by sums", simulate_waits(0)),
        ("everyone at once", simulate_waits(INSTANCES)),
    )
    for name, waits_s in results:
        mean_ms = 1000.0 * statistics.fmean(waits_s)
        p95_ms = 1000.0 * statistics.quantiles(waits_s, n=20)[-1]
        print(f"{name:32} mean {mean_ms:6.0f} ms, p95 {p95_ms:6.0f} ms")


if __name__ == "__main__":
    main()

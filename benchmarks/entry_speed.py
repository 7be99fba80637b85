"""Throughput of one entry process on one core: ``python -m benchmarks.entry_speed``.

Callers send requests in a closed loop to a single entry, in front of engines without
delay, for whole responses and for streams of several lengths.
"""

import time

from benchmarks import driver
from standins.layout import AUTHORITY, EngineSpec, Layout
from standins.stack import Stack

ENGINES = 6
DURATION_S = 8.0
CALLER_COUNT = 48
CALLER_PROCESSES = 3

LAYOUT = Layout(
    example=AUTHORITY.example,
    service_pool=AUTHORITY.service_pool,
    versions=AUTHORITY.versions,
    qualities=AUTHORITY.qualities,
    entry_zones=("zone-a",),
    engines=tuple(
        EngineSpec(f"engine-{n}", "zone-a", 64, 0.0, 0.0) for n in range(ENGINES)
    ),
    service_zones=("zone-a",),
)


def measure(stack, streamed, max_tokens, deadline_ms=30000):
    """Return requests/s, tokens/s and the share of a core that the entry uses."""
    entry = stack.entries[0]
    plan = driver.CallerPlan(
        entries=[entry.url],
        keys=stack.read_team_keys(),
        teams={"claims-desk": 1},
        kinds={"swift": 1},
        rate=1.0,
        duration_s=DURATION_S,
        seed=1,
        streamed=streamed,
        closed=CALLER_COUNT,
        deadline_ms=deadline_ms,
        max_tokens=max_tokens,
    )
    running = driver.start_callers(
        stack.folder, driver.split_plan(plan, CALLER_PROCESSES)
    )
    time.sleep(2.0)
    cpu_s, measured_from = driver.read_cpu_s(entry.process.pid), time.monotonic()
    time.sleep(DURATION_S - 3.0)
    cpu_s = driver.read_cpu_s(entry.process.pid) - cpu_s
    core_share = cpu_s / (time.monotonic() - measured_from)
    samples = [s for s in driver.collect_samples(running) if s.status == 200]
    tokens = sum(s.tokens for s in samples)
    return len(samples) / DURATION_S, tokens / DURATION_S, core_share


def main():
    """Print the figures for whole and streamed responses."""
    stack = Stack(LAYOUT).start()
    try:
        for name, streamed, tokens in (
            ("whole, 8 tokens", 0.0, 8),
            ("streamed, 8 tokens", 1.0, 8),
            ("streamed, 32 tokens", 1.0, 32),
            ("streamed, 360 tokens", 1.0, 360),
        ):
            rate, token_rate, core_share = measure(stack, streamed, tokens)
            print(
                f"{name:24} {rate:7.0f} requests/s {token_rate:8.0f} tokens/s "
                f"{core_share:5.2f} core"
            )
    finally:
        stack.stop()


if __name__ == "__main__":
    main()

"""What one entry process carries on one core: ``python -m benchmarks.entry_speed``.

Closed loops of callers against a single entry, in front of engines that
answer without delay, for whole answers and for long streams.
"""

import time

from benchmarks import driver
from standins.layout import AUTHORITY, EngineSpec, Layout
from standins.stack import Stack

ENGINES = 6
DURATION_S = 8.0
CALLERS = 48
PROCESSES = 3

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
    """Return requests/s, tokens/s and the entry's share of a core."""
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
        closed=CALLERS,
        deadline_ms=deadline_ms,
        max_tokens=max_tokens,
    )
    started = driver.start_callers(stack.folder, driver.split_plan(plan, PROCESSES))
    time.sleep(2.0)
    cpu, at = driver.read_cpu_s(entry.process.pid), time.monotonic()
    time.sleep(DURATION_S - 3.0)
    cpu = driver.read_cpu_s(entry.process.pid) - cpu
    share = cpu / (time.monotonic() - at)
    samples = [s for s in driver.gather_samples(started) if s.status == 200]
    tokens = sum(s.tokens for s in samples)
    return len(samples) / DURATION_S, tokens / DURATION_S, share


def main():
    """Print the figures."""
    stack = Stack(LAYOUT).start()
    try:
        for name, streamed, tokens in (
            ("whole, 8 tokens", 0.0, 8),
            ("streamed, 8 tokens", 1.0, 8),
            ("streamed, 32 tokens", 1.0, 32),
            ("streamed, 360 tokens", 1.0, 360),
        ):
            rate, token_rate, share = measure(stack, streamed, tokens)
            print(
                f"{name:24} {rate:7.0f} requests/s {token_rate:8.0f} tokens/s "
                f"{share:5.2f} core"
            )
    finally:
        stack.stop()


if __name__ == "__main__":
    main()

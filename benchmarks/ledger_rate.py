"""Store writes and claim latency by rate: ``python -m benchmarks.ledger_rate``.

Sends non-idempotent requests with an idempotency key, which need a claim and a bill
each, at several rates through one entry and through eight.
"""

import dataclasses
import time

from benchmarks import driver
from benchmarks.summary import summarise
from standins.layout import AUTHORITY, ZONES, EngineSpec
from standins.stack import Stack

DURATION_S = 12
CALLER_PROCESSES = 3
QUANTILES = (0.5, 0.95)


def make_layout(entries):
    """Return a layout with *entries* entries, and engines without delay."""
    return dataclasses.replace(
        AUTHORITY,
        entry_zones=tuple(ZONES[n % 4] for n in range(entries)),
        engines=tuple(EngineSpec(f"engine-{n}", ZONES[n], 64, 0, 0) for n in range(4)),
    )


def sum_counters(stack):
    """Return each metric summed over all entries."""
    rows = [driver.read_metrics(entry.metrics) for entry in stack.entries]
    return {key: sum(row.get(key, 0.0) for row in rows) for row in rows for key in row}


def estimate_quantile(before, after, name, quantile):
    """Return the upper bound of the histogram bucket that contains *quantile*.

    Only observations between the readings *before* and *after* count.
    """
    prefix = f"{name}_bucket"
    counts = sorted(
        (
            float(key.split('"')[1].replace("+Inf", "inf")),
            after[key] - before.get(key, 0),
        )
        for key in after
        if key.startswith(prefix)
    )
    total = counts[-1][1]
    return next(bound for bound, count in counts if count >= quantile * total)


def measure(entries, rate):
    """Print the figures of one request rate through *entries* entries."""
    stack = Stack(make_layout(entries)).start()
    try:
        time.sleep(3)
        plan = driver.CallerPlan(
            entries=[entry.url for entry in stack.entries],
            keys=stack.read_team_keys(),
            teams={"claims-desk": 1},
            kinds={"claim-booking": 1},
            rate=rate,
            duration_s=DURATION_S,
            seed=5,
            streamed=0.0,
            retry=False,
            max_tokens=4,
        )
        before = sum_counters(stack)
        samples = driver.run_callers(
            stack.folder, driver.split_plan(plan, CALLER_PROCESSES)
        )
        time.sleep(3)
        after = sum_counters(stack)
    finally:
        stack.stop()
    summary = summarise(samples, DURATION_S)

    def compute_increase(key):
        return after.get(key, 0) - before.get(key, 0)

    committed = compute_increase('merlinnotch_ledger_commits_total{result="committed"}')
    checkpoints = compute_increase(
        'merlinnotch_ledger_commits_total{result="checkpoint"}'
    )
    conflicts = compute_increase('merlinnotch_ledger_commits_total{result="conflict"}')
    writes = (committed + checkpoints + conflicts) / DURATION_S
    reads = compute_increase('merlinnotch_store_calls_total{kind="read"}') / DURATION_S
    claim_bounds_ms = [
        estimate_quantile(before, after, "merlinnotch_claim_seconds", quantile) * 1000
        for quantile in QUANTILES
    ]
    print(
        f"{entries} entries {rate:5.0f}/s: "
        f"answered {summary.answered}/{summary.asked}, "
        f"ledger writes {writes:6.1f}/s ({writes / rate:.2f} a request), reads "
        f"{reads:5.1f}/s, conflicts {conflicts:.0f}, "
        f"claim p50 <= {claim_bounds_ms[0]:.0f} ms, "
        f"p95 <= {claim_bounds_ms[1]:.0f} ms; answer p50 {summary.p50:.0f} p95 "
        f"{summary.p95:.0f} ms",
        flush=True,
    )


def main():
    """Print the figures of all combinations."""
    for entries, rates in ((1, (20, 100, 200)), (8, (20, 100, 300, 600))):
        for rate in rates:
            measure(entries, rate)


if __name__ == "__main__":
    main()

"""Store writes and claim latency against rate: ``python -m benchmarks.ledger_rate``.

Non-idempotent requests with the caller's id, each of which needs a claim and a
bill, at rising rates through one entry and through eight.
"""

import dataclasses
import time

from benchmarks import driver
from benchmarks.summary import summarise
from standins.layout import AUTHORITY, ZONES, EngineSpec
from standins.stack import Stack

DURATION_S = 12
PROCESSES = 3
QUANTILES = (0.5, 0.95)


def make_layout(entries):
    """Return a layout with engines that answer at once."""
    return dataclasses.replace(
        AUTHORITY,
        entry_zones=tuple(ZONES[n % 4] for n in range(entries)),
        engines=tuple(EngineSpec(f"engine-{n}", ZONES[n], 64, 0, 0) for n in range(4)),
    )


def read_sums(stack):
    """Return counters summed over entries."""
    rows = [driver.read_metrics(entry.metrics) for entry in stack.entries]
    return {key: sum(row.get(key, 0.0) for row in rows) for row in rows for key in row}


def quantile_of(before, after, name, share):
    """Return the upper bound of the histogram bucket that holds a quantile."""
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
    return next(bound for bound, count in counts if count >= share * total)


def measure(entries, rate):
    """Print what one rate through that many entries costs."""
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
        before = read_sums(stack)
        samples = driver.run_callers(stack.folder, driver.split_plan(plan, PROCESSES))
        time.sleep(3)
        after = read_sums(stack)
    finally:
        stack.stop()
    summary = summarise(samples, DURATION_S)

    def grown(key):
        return after.get(key, 0) - before.get(key, 0)

    committed = grown('merlinnotch_ledger_commits_total{result="committed"}')
    checkpoints = grown('merlinnotch_ledger_commits_total{result="checkpoint"}')
    conflicts = grown('merlinnotch_ledger_commits_total{result="conflict"}')
    writes = (committed + checkpoints + conflicts) / DURATION_S
    reads = grown('merlinnotch_store_calls_total{kind="read"}') / DURATION_S
    claims = [
        quantile_of(before, after, "merlinnotch_claim_seconds", share) * 1000
        for share in QUANTILES
    ]
    print(
        f"{entries} entries {rate:5.0f}/s: "
        f"answered {summary.answered}/{summary.asked}, "
        f"ledger writes {writes:6.1f}/s ({writes / rate:.2f} a request), reads "
        f"{reads:5.1f}/s, conflicts {conflicts:.0f}, claim p50 <= {claims[0]:.0f} ms, "
        f"p95 <= {claims[1]:.0f} ms; answer p50 {summary.p50:.0f} p95 "
        f"{summary.p95:.0f} ms",
        flush=True,
    )


def main():
    """Measure all combinations."""
    for entries, rates in ((1, (20, 100, 200)), (8, (20, 100, 300, 600))):
        for rate in rates:
            measure(entries, rate)


if __name__ == "__main__":
    main()

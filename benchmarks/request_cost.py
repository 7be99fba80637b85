"""Control bytes and store calls per request: ``python -m benchmarks.request_cost``.

Counts them in eight entries under a constant request rate, and subtracts the counts of
the same entries when idle. Requests have an idempotency key; idempotent ones are of
three kinds.
"""

import time

from benchmarks import driver
from benchmarks.ledger_rate import make_layout, sum_counters
from standins.stack import Stack

RATE = 40
DURATION_S = 15
SETTLE_S = 12
KINDS_BY_IDEMPOTENCE = {
    "idempotent": {"listing-assistance": 1, "claim-matching": 1, "donor-summary": 1},
    "non-idempotent": {"claim-booking": 1},
}
COUNTERS = {
    "control bytes out": 'merlinnotch_control_bytes_total{direction="out"}',
    "store writes": 'merlinnotch_store_calls_total{kind="write"}',
    "store reads": 'merlinnotch_store_calls_total{kind="read"}',
}


def measure(stack, kinds):
    """Return (count, number of requests) by name of counter.

    Counts are summed over all entries and include their idle load.
    """
    plan = driver.CallerPlan(
        entries=[entry.url for entry in stack.entries],
        keys=stack.read_team_keys(),
        teams={"claims-desk": 1},
        kinds=kinds,
        rate=RATE,
        duration_s=DURATION_S,
        seed=11,
        streamed=0.5,
    )
    before = sum_counters(stack)
    samples = driver.run_callers(stack.folder, [plan])
    time.sleep(3)
    after = sum_counters(stack)
    return {
        name: (after.get(key, 0.0) - before.get(key, 0.0), len(samples))
        for name, key in COUNTERS.items()
    }


def main():
    """Print the counts per request, idempotent and not."""
    stack = Stack(make_layout(8)).start()
    try:
        time.sleep(SETTLE_S)
        before = sum_counters(stack)
        started_at = time.monotonic()
        time.sleep(DURATION_S + 4)
        elapsed_s = time.monotonic() - started_at
        after = sum_counters(stack)
        idle_counts = {name: after[key] - before[key] for name, key in COUNTERS.items()}
        for label, kinds in KINDS_BY_IDEMPOTENCE.items():
            for name, (count, requests) in measure(stack, kinds).items():
                net_count = count - idle_counts[name] / elapsed_s * (DURATION_S + 4)
                print(f"{label}: {name} {net_count / requests:.2f} a request")
    finally:
        stack.stop()


if __name__ == "__main__":
    main()

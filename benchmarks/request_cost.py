"""Control bytes and store calls of a request: ``python -m benchmarks.request_cost``.

Compares eight idle entries with eight that answer a steady rate, with requests
that have the caller's id and are spread over three kinds.
"""

import time

from benchmarks import driver
from benchmarks.ledger_rate import make_layout, read_sums
from standins.stack import Stack

RATE = 40
DURATION_S = 15
SETTLE_S = 12
KINDS = {
    "idempotent": {"listing-assistance": 1, "claim-matching": 1, "donor-summary": 1},
    "non-idempotent": {"claim-booking": 1},
}
COUNTED = {
    "control bytes out": 'merlinnotch_control_bytes_total{direction="out"}',
    "store writes": 'merlinnotch_store_calls_total{kind="write"}',
    "store reads": 'merlinnotch_store_calls_total{kind="read"}',
}


def measure(stack, kinds):
    """Return what the fleet counts for each request of *kinds*."""
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
    before = read_sums(stack)
    samples = driver.run_callers(stack.folder, [plan])
    time.sleep(3)
    after = read_sums(stack)
    return {
        name: (after.get(key, 0.0) - before.get(key, 0.0), len(samples))
        for name, key in COUNTED.items()
    }


def main():
    """Print a line for each sort of request."""
    stack = Stack(make_layout(8)).start()
    try:
        time.sleep(SETTLE_S)
        before = read_sums(stack)
        started = time.monotonic()
        time.sleep(DURATION_S + 4)
        span = time.monotonic() - started
        after = read_sums(stack)
        idle = {name: after[key] - before[key] for name, key in COUNTED.items()}
        for what, kinds in KINDS.items():
            for name, (count, requests) in measure(stack, kinds).items():
                own = count - idle[name] / span * (DURATION_S + 4)
                print(f"{what}: {name} {own / requests:.2f} a request")
    finally:
        stack.stop()


if __name__ == "__main__":
    main()

"""What a bucket's state costs as it grows: ``python -m benchmarks.ledger_state``."""

import time
import tracemalloc

from merlinnotch._ledger import Bill, BucketState, Claim
from merlinnotch._ledger.encoding import encode_checkpoint

COUNTS = (1_000, 10_000, 50_000)


def build(count, claims):
    """Return a state that remembers *count* requests, claimed first if asked."""
    state = BucketState()
    for number in range(count):
        key = number.to_bytes(16, "big")
        if claims:
            attempt = f"request-{number}/123456789012345"
            state.apply(Claim(key, attempt, "entry-100", b"12345678", 1e9))
        state.apply(Bill(key, f"team-{number % 10}", "swift@v3", 300, 900, 1e9))
    return state


def main():
    """Print bytes and times for each count."""
    for claims in (False, True):
        for count in COUNTS:
            tracemalloc.start()
            state = build(count, claims)
            memory, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            started = time.perf_counter()
            data = encode_checkpoint(1, state)
            span = time.perf_counter() - started
            what = "claims and bills" if claims else "bills"
            print(
                f"{count:6} {what:16} checkpoint {len(data) / count:5.1f} bytes each, "
                f"{len(data) / 1e6:5.2f} MB in {span * 1000:6.1f} ms; "
                f"memory {memory / count:5.0f} bytes each"
            )


if __name__ == "__main__":
    main()

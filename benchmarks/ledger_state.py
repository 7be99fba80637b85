"""Size of a ledger bucket's state: ``python -m benchmarks.ledger_state``."""

import time
import tracemalloc

from merlinnotch._ledger import Bill, BucketState, Claim
from merlinnotch._ledger.encoding import encode_checkpoint

COUNTS = (1_000, 10_000, 50_000)


def build_state(count, with_claims):
    """Return a state with the bills of *count* requests, and optionally claims."""
    state = BucketState()
    for number in range(count):
        key = number.to_bytes(16, "big")
        if with_claims:
            attempt = f"request-{number}/123456789012345"
            state.apply(Claim(key, attempt, "entry-100", b"12345678", 1e9))
        state.apply(Bill(key, f"team-{number % 10}", "swift@v3", 300, 900, 1e9))
    return state


def main():
    """Print checkpoint size, encoding time and memory for each count."""
    for with_claims in (False, True):
        for count in COUNTS:
            tracemalloc.start()
            state = build_state(count, with_claims)
            memory_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            started_at = time.perf_counter()
            data = encode_checkpoint(1, state)
            elapsed_s = time.perf_counter() - started_at
            label = "claims and bills" if with_claims else "bills"
            print(
                f"{count:6} {label:16} checkpoint {len(data) / count:5.1f} bytes each, "
                f"{len(data) / 1e6:5.2f} MB in {elapsed_s * 1000:6.1f} ms; "
                f"memory {memory_bytes / count:5.0f} bytes each"
            )


if __name__ == "__main__":
    main()

"""``python -m soak --seed 7 --seconds 60``: one soak, or several in a row."""

import argparse
import sys

import eventlet

from .world import SoakWorld


def main():
    """Run the soaks; the exit code tells whether a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many, one by one")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--instances", type=int, default=5)
    options = parser.parse_args()
    broken = 0
    for seed in range(options.seed, options.seed + options.seeds):
        world = SoakWorld(seed, options.instances)
        try:
            faults = world.run(options.seconds)
        finally:
            world.close()
        seen = world.evidence
        print(
            f"seed {seed}: {len(seen.outcomes)} attempts, {len(seen.runs)} runs,",
            f"{sum(o.status == 200 for o in seen.outcomes)} answered,",
            f"{len(faults)} broken promises, logs in {world.folder}",
            flush=True,
        )
        for line in faults[:20]:
            print("  ", line, flush=True)
        broken += bool(faults)
    return 1 if broken else 0


if __name__ == "__main__":
    eventlet.sleep(0)
    sys.exit(main())

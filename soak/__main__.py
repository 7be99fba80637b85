"""``python -m soak --seed 7 --seconds 60``: run one soak, or several in sequence."""

import argparse
import pathlib
import sys

import eventlet

from .history import write_history
from .world import SoakWorld


def main():
    """Run the soaks; return 1 if any soak had a violation, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds to run"
    )
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--instances", type=int, default=5)
    options = parser.parse_args()
    failed_seeds = 0
    for seed in range(options.seed, options.seed + options.seeds):
        world = SoakWorld(seed, options.instances)
        try:
            violations = world.run(options.seconds)
        finally:
            world.close()
        history = world.history
        print(
            f"seed {seed}: {len(history.outcomes)} attempts, {len(history.runs)} runs,",
            f"{sum(o.status == 200 for o in history.outcomes)} answered,",
            f"{len(history.repeats)} repeated,",
            f"{len(violations)} violations, logs in {world.folder}",
            flush=True,
        )
        if violations:
            write_history(history, pathlib.Path(world.folder) / "history.log")
        for line in violations[:20]:
            print("  ", line, flush=True)
        failed_seeds += bool(violations)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    eventlet.sleep(0)
    sys.exit(main())

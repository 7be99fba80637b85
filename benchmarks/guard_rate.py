"""Alarms of the version guard on simulated ratings.

Run by ``python -m benchmarks.guard_rate``.

For each shape of ratings: false alarms per 10,000 rated answers of a steady
version, and rated answers until a loss is found. Fixed seeds.
"""

import numpy

from merlinnotch._peers import Tally
from merlinnotch._routing import VersionGuard

SERIES = 200
STEADY_RATED = 10_000
BEFORE = 300
MOST = 600
MEAN = 0.8
SEED = 7
CELL = ("swift@v3", "match")


def draw_narrow(generator, mean):
    """Ratings spread by 0.1."""
    return min(1.0, max(0.0, generator.normal(mean, 0.1)))


def draw_wide(generator, mean):
    """Ratings spread by 0.25, cut off at 0 and 1."""
    return min(1.0, max(0.0, generator.normal(mean, 0.25)))


def draw_binary(generator, mean):
    """Good or bad, nothing between."""
    return float(generator.random() < mean)


class Series:
    """One version's ratings, fed to a guard one by one."""

    def __init__(self, seed, draw, **options):
        self._guard = VersionGuard(**options)
        self._generator = numpy.random.default_rng(seed)
        self._draw = draw
        self._tally = Tally()

    def rate(self, mean):
        """Feed one rating; return whether there was an alarm."""
        score = self._draw(self._generator, mean)
        self._tally = self._tally.add(Tally(1, 0, 1, score, score * score))
        return bool(self._guard.observe({CELL: self._tally}))


def count_false_alarms(draw, **options):
    """Return how many of the steady series raised an alarm."""
    alarms = 0
    for seed in range(SERIES):
        series = Series((SEED, seed), draw, **options)
        alarms += any(series.rate(MEAN) for _ in range(STEADY_RATED))
    return alarms


def measure_delays(draw, loss, slow=0, **options):
    """Return delays in ratings from a loss to its alarm; MOST where none came."""
    delays = []
    for seed in range(SERIES):
        series = Series((SEED, seed, 1), draw, **options)
        if any(series.rate(MEAN) for _ in range(BEFORE)):
            continue
        for number in range(1, MOST + slow + 1):
            lost = loss * min(1.0, number / slow) if slow else loss
            if series.rate(MEAN - lost):
                break
        delays.append(number)
    return delays


def main():
    """Print a table."""
    for draw in (draw_narrow, draw_wide, draw_binary):
        false = count_false_alarms(draw)
        print(f"{draw.__doc__}")
        print(
            f"  steady: {false} of {SERIES} series of {STEADY_RATED} ratings "
            f"had an alarm, {false / SERIES:.3f} per {STEADY_RATED}"
        )
        for loss, slow in ((0.2, 0), (0.3, 0), (0.2, 1000)):
            delays = measure_delays(draw, loss, slow)
            points = numpy.percentile(delays, (50, 90, 99))
            how = f"over {slow} ratings" if slow else "at once"
            print(
                f"  loss of {loss} {how}: found after {points[0]:.0f} (median), "
                f"{points[1]:.0f} (90%), {points[2]:.0f} (99%) ratings"
            )


if __name__ == "__main__":
    main()

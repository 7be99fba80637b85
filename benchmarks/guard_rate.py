"""False alarms and detection delays of the version guard on simulated ratings.

Run with ``python -m benchmarks.guard_rate``.

Prints for each distribution of ratings the false alarms per 10,000 ratings of a version
of constant quality, and the number of ratings until a loss of quality is detected. The
seeds are fixed.
"""

import numpy

from merlinnotch._peers import Tally
from merlinnotch._routing import VersionGuard

SERIES_COUNT = 200
STEADY_RATINGS = 10_000
RATINGS_BEFORE_LOSS = 300
MAX_DELAY = 600
MEAN_RATING = 0.8
SEED = 7
VERSION_AND_KIND = ("swift@v3", "match")


def draw_narrow(generator, mean):
    """Normal ratings with a standard deviation of 0.1, clipped to 0 and 1."""
    return min(1.0, max(0.0, generator.normal(mean, 0.1)))


def draw_wide(generator, mean):
    """Normal ratings with a standard deviation of 0.25, clipped to 0 and 1."""
    return min(1.0, max(0.0, generator.normal(mean, 0.25)))


def draw_binary(generator, mean):
    """Binary ratings of 0 or 1."""
    return float(generator.random() < mean)


class RatingSeries:
    """Ratings of one version that are passed to a guard one at a time."""

    def __init__(self, seed, draw, **options):
        self._guard = VersionGuard(**options)
        self._generator = numpy.random.default_rng(seed)
        self._draw = draw
        self._tally = Tally()

    def add_rating(self, mean):
        """Pass one rating to the guard; return whether it raised an alarm."""
        score = self._draw(self._generator, mean)
        self._tally = self._tally.add(Tally(1, 0, 1, score, score * score))
        return bool(self._guard.observe({VERSION_AND_KIND: self._tally}))


def count_false_alarms(draw, **options):
    """Return the number of series of constant quality that raised an alarm."""
    series_with_alarm = 0
    for seed in range(SERIES_COUNT):
        series = RatingSeries((SEED, seed), draw, **options)
        series_with_alarm += any(
            series.add_rating(MEAN_RATING) for _ in range(STEADY_RATINGS)
        )
    return series_with_alarm


def measure_delays(draw, loss, ramp_ratings=0, **options):
    """Return the number of ratings from each loss to its alarm.

    The loss grows linearly over *ramp_ratings*. Without an alarm the delay is
    ``MAX_DELAY + ramp_ratings``. Series with an alarm before the loss are left out.
    """
    delays = []
    for seed in range(SERIES_COUNT):
        series = RatingSeries((SEED, seed, 1), draw, **options)
        if any(series.add_rating(MEAN_RATING) for _ in range(RATINGS_BEFORE_LOSS)):
            continue
        for delay in range(1, MAX_DELAY + ramp_ratings + 1):
            current_loss = (
                loss * min(1.0, delay / ramp_ratings) if ramp_ratings else loss
            )
            if series.add_rating(MEAN_RATING - current_loss):
                break
        delays.append(delay)
    return delays


def main():
    """Print the figures of each distribution."""
    for draw in (draw_narrow, draw_wide, draw_binary):
        false_alarm_count = count_false_alarms(draw)
        print(f"{draw.__doc__}")
        print(
            f"  steady: {false_alarm_count} of {SERIES_COUNT} series "
            f"of {STEADY_RATINGS} ratings "
            f"had an alarm, {false_alarm_count / SERIES_COUNT:.3f} per {STEADY_RATINGS}"
        )
        for loss, ramp_ratings in ((0.2, 0), (0.3, 0), (0.2, 1000)):
            delays = measure_delays(draw, loss, ramp_ratings)
            percentiles = numpy.percentile(delays, (50, 90, 99))
            onset = f"over {ramp_ratings} ratings" if ramp_ratings else "at once"
            print(
                f"  loss of {loss} {onset}: found after {percentiles[0]:.0f} (median), "
                f"{percentiles[1]:.0f} (90%), {percentiles[2]:.0f} (99%) ratings"
            )


if __name__ == "__main__":
    main()

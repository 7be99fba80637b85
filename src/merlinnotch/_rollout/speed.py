"""Whether an answer took much longer than its like."""

import collections
import statistics

KEPT = 80
MIN_ANSWERS = 10
SLOW_FACTOR = 2.0
"""How many times the median makes an answer slow. Sound versions have such
answers too, more under load; the verdict compares the shares. (Three times the
mean and the slowest twentieth were tried: both missed versions eight times slower
whose first dozen answers met no queue.)"""
LEAST_EXTRA_S = 0.02
"""How much longer than the median a slow answer takes at least. Answers of 3 ms
are doubled by the turns that processes take on a shared core: 48 runs on a
machine with 1.5 busy processes a core had 3 sound versions taken back, with waits
of 5 to 12 ms that came several at a time. No caller misses 20 ms, and the
medians of streams' gaps and plain answers, from 20 ms, leave the factor to decide."""


class SpeedBook:
    """Usual times of answers, learned from versions that are not rolling out."""

    def __init__(self):
        self._usual = {}

    def note(self, kind, seconds, is_new):
        """Take one answer's time; return whether it was slow.

        *kind* tells answers that take alike; the fewer kinds, the sooner one
        instance has seen enough of each. Times of a version that *is_new* don't
        change what is usual.
        """
        usual = self._usual.setdefault(kind, collections.deque(maxlen=KEPT))
        slow = False
        if len(usual) >= MIN_ANSWERS:
            median = statistics.median(usual)
            slow = seconds > max(SLOW_FACTOR * median, median + LEAST_EXTRA_S)
        if not is_new:
            usual.append(seconds)
        return slow

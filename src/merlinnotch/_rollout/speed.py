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
            slow = seconds > SLOW_FACTOR * statistics.median(usual)
        if not is_new:
            usual.append(seconds)
        return slow

"""Whether a version answers worse than the one that it replaces."""

import enum
import math
from dataclasses import dataclass

from .busy import is_busy
from .speed import Speed, compare_speeds
from .tallies import Tally

MIN_BAD = 3
"""Fewer bad answers never convict: upstreams fail now and then."""
BASE_RATE = 0.04
"""Bad answers that any version is allowed, as a share; faults of the platform
(lost answers, spoiled bytes) make 0.02 to 0.06 at single upstreams."""
RATE_FACTOR = 1.5
"""How much worse than the old version's own rate the new one may be."""
CONVICT_BELOW = 0.002
"""Chance of that many bad answers from a sound version. The test is repeated
with each answer, some hundred times a roll-out."""

SLOW_BASE_RATE = 0.1
SLOW_RATE_FACTOR = 1.3
"""The same for slow answers, which take twice the usual time."""
MIN_SLOW = 5

BAD_SHARE = 1 / 3
"""The least part of its answers that a bad version is reckoned to fail or delay."""
CLEAR_BELOW = 0.1
"""Chance of so few bad answers from a bad version. It takes six answers without a
fault; of 26 requests a second with a tenth allowed, a period of 16 s leaves eight for
the stages before the last one."""
BUSY_SHARE = 0.05
"""Part of the answers of the version before that come from busy upstreams where load is
usual."""
DOUBT_BELOW = 0.02
"""Chance of that many bad answers from a sound version, below which it has to show more
answers before it gets on. This costs a sound version time only."""


class Standing(enum.Enum):
    """What the answers of a version allow to conclude."""

    UNKNOWN = "unknown"
    """Too few answers, none of them with a fault."""
    SOUND = "sound"
    """A bad version would have shown it."""
    DOUBTFUL = "doubtful"
    """Faults that may be chance, or may not."""


@dataclass(frozen=True)
class Comparison:
    """Answers of the new version and of the one before, and how long they took.

    *route* is None where those of all routes are taken together.
    """

    route: str | None
    new: Tally
    old: Tally
    speed: Speed

    @property
    def convicts(self):
        """Whether the new version is shown to be worse."""
        return is_worse(self.new, self.old) or is_slower(self.speed)

    @property
    def raises_doubt(self):
        """Whether a sound version would seldom answer like this."""
        chance_bad = _measure_chance_bad(self.new, self.old)
        return min(chance_bad, _measure_chance_slow(self.speed)) < DOUBT_BELOW

    @property
    def clears(self):
        """Whether a bad version would seldom answer as well as this."""
        bad_rate = BAD_SHARE + _get_bad_rate(self.old)
        if not _is_cleared(self.new.bad, self.new.answers, bad_rate):
            return False
        slow_rate = BAD_SHARE + self.speed.usual_rate
        # Where no answer has its like, nothing is known of their times.
        return not self.speed.answers or _is_cleared(
            self.speed.slow, self.speed.answers, slow_rate
        )

    def describe(self):
        """Return the counts in words, for logs."""
        return (
            f"{self.new.bad} bad of {self.new.answers}, "
            f"before {self.old.bad} of {self.old.answers}; "
            f"{self.speed.slow} slow of {self.speed.answers}, "
            f"usual {self.speed.usual:.1f}"
        )


def is_slower(speed):
    """Return whether the :class:`Speed` of a version convicts it."""
    return speed.slow >= MIN_SLOW and _measure_chance_slow(speed) < CONVICT_BELOW


def is_worse(new, old):
    """Return whether the new version's :class:`Tally` convicts it.

    A one-sided binomial test against the old version's rate in the same time,
    so that what strikes both versions convicts neither.
    """
    return new.bad >= MIN_BAD and _measure_chance_bad(new, old) < CONVICT_BELOW


def judge_version(counts, order):
    """Return a reason to take the target of *order* back, or None.

    Looks at all routes together and at each one alone: some versions fail on
    one route only. *counts* are :class:`AnswerCounts`.
    """
    routes = _compare_routes(counts, order)
    for comparison in routes:
        if comparison.convicts:
            return f"route {comparison.route}: {comparison.describe()}"
    total = _add_routes(routes)
    return total.describe() if total.convicts else None


def weigh_version(counts, order, is_loaded=False):
    """Return the :class:`Standing` of the target of *order*.

    With *is_loaded* its upstreams get as much as those of the version before: where
    those were busy at times, its own answers while busy have to show that it is sound.

    Nothing seen proves nothing: a version that fails or delays some of its answers
    has shown few of them while it gets little traffic. So all traffic waits for
    answers that a bad version would hardly have given.
    """
    routes = _compare_routes(counts, order)
    if any(comparison.raises_doubt for comparison in routes):
        return Standing.DOUBTFUL
    total = _add_routes(routes)
    if total.clears and not (is_loaded and _lacks_busy_answers(counts, order)):
        return Standing.SOUND
    return Standing.DOUBTFUL if total.new.bad or total.speed.slow else Standing.UNKNOWN


def _lacks_busy_answers(counts, order):
    """Return whether the new version was seldom busy, and the one before was not."""
    usual, busy, shown = Tally(), Tally(), Tally()
    for key in counts.tallies.list_keys(order):
        tally = counts.tallies.sum(key)
        if key.version == order.target:
            shown = shown.add(tally) if is_busy(key.route) else shown
            continue
        usual = usual.add(tally)
        busy = busy.add(tally) if is_busy(key.route) else busy
    if busy.answers < BUSY_SHARE * usual.answers:
        return False
    return not _is_cleared(shown.bad, shown.answers, BAD_SHARE)


def describe_tallies(counts, order):
    """Return what was counted of the target of *order* and of the rest."""
    return _add_routes(_compare_routes(counts, order)).describe()


def _compare_routes(counts, order):
    """Return a :class:`Comparison` for each route with answers of the new version."""
    book = counts.tallies
    speeds = compare_speeds(counts.times, order)
    return [
        Comparison(
            key.route,
            book.sum(key),
            _sum_others(book, order, key.route),
            speeds[key.route],
        )
        for key in book.list_keys(order)
        if key.version == order.target
    ]


def _add_routes(comparisons):
    """Return the :class:`Comparison` of all routes together."""
    new, old, speed = Tally(), Tally(), Speed()
    for comparison in comparisons:
        new = new.add(comparison.new)
        old = old.add(comparison.old)
        speed = speed.add(comparison.speed)
    return Comparison(None, new, old, speed)


def _sum_others(book, order, route):
    total = Tally()
    for key in book.list_keys(order):
        if key.route == route and key.version != order.target:
            total = total.add(book.sum(key))
    return total


def _is_cleared(count, answers, rate):
    """Return whether a version that is bad at *rate* would have shown more."""
    return 1.0 - _tail(count + 1, answers, min(0.9, rate)) < CLEAR_BELOW


def _measure_chance_bad(new, old):
    allowed = min(0.9, BASE_RATE + RATE_FACTOR * _get_bad_rate(old))
    return _tail(new.bad, new.answers, allowed)


def _measure_chance_slow(speed):
    allowed = min(0.9, SLOW_BASE_RATE + SLOW_RATE_FACTOR * speed.usual_rate)
    return _tail(speed.slow, speed.answers, allowed)


def _get_bad_rate(old):
    return old.bad / old.answers if old.answers else 0.0


def _tail(count, trials, rate):
    """Return the chance of *count* or more of *trials* at *rate*.

    Sums logarithms: binomials of a thousand answers exceed a float.
    """
    if count == 0:
        return 1.0
    if rate == 0.0:
        return 0.0
    below = sum(math.exp(_log_chance(k, trials, rate)) for k in range(count))
    return max(0.0, 1.0 - below)


def _log_chance(count, trials, rate):
    rest = trials - count
    ways = math.lgamma(trials + 1) - math.lgamma(count + 1) - math.lgamma(rest + 1)
    return ways + count * math.log(rate) + rest * math.log(1.0 - rate)

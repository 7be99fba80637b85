"""Whether a version answers worse than the one that it replaces."""

import enum
import math

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
    for route, new, old, speed in _compare_routes(counts, order):
        if is_worse(new, old) or is_slower(speed):
            part = f"route {route}: " if route else ""
            return part + _describe(new, old, speed)
    return None


def weigh_version(counts, order):
    """Return the :class:`Standing` of the target of *order*.

    A version that fails or delays a third of its answers gets all traffic only by
    chance of one in ten; without this, one with 8 slow of 16 answers had got it.
    """
    *routes, (_, new, old, speed) = _compare_routes(counts, order)
    if any(_is_doubtful(*parts) for _, *parts in routes):
        return Standing.DOUBTFUL
    bad_rate = BAD_SHARE + _get_bad_rate(old)
    slow_rate = BAD_SHARE + speed.usual_rate
    is_fast = not speed.answers or _is_cleared(speed.slow, speed.answers, slow_rate)
    if is_fast and _is_cleared(new.bad, new.answers, bad_rate):
        return Standing.SOUND
    return Standing.DOUBTFUL if new.bad or speed.slow else Standing.UNKNOWN


def describe_tallies(counts, order):
    """Return what was counted of the target of *order* and of the rest."""
    *_, (_, new, old, speed) = _compare_routes(counts, order)
    return _describe(new, old, speed)


def _compare_routes(counts, order):
    """Return (route, new, old, speed) for each route, and last for all, as None."""
    book = counts.tallies
    speeds = compare_speeds(counts.times, order)
    rows = []
    for key in book.list_keys(order):
        if key.version == order.target:
            old = _sum_others(book, order, key.route)
            rows.append((key.route, book.sum(key), old, speeds[key.route]))
    new, old, speed = Tally(), Tally(), Speed()
    for _, route_new, route_old, route_speed in rows:
        new = new.add(route_new)
        old = old.add(route_old)
        speed = speed.add(route_speed)
    return [*rows, (None, new, old, speed)]


def _sum_others(book, order, route):
    total = Tally()
    for key in book.list_keys(order):
        if key.route == route and key.version != order.target:
            total = total.add(book.sum(key))
    return total


def _describe(new, old, speed):
    return (
        f"{new.bad} bad of {new.answers}, before {old.bad} of {old.answers}; "
        f"{speed.slow} slow of {speed.answers}, usual {speed.usual:.1f}"
    )


def _is_doubtful(new, old, speed):
    chances = (_measure_chance_bad(new, old), _measure_chance_slow(speed))
    return min(chances) < DOUBT_BELOW


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

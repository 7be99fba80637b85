"""Whether a version answers worse than the one that it replaces."""

import math

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
"""The same for slow answers. Those take twice the median: of a sound version 10
to 30 in 100, of one that is eight times slower 75 to 100."""
MIN_SLOW = 5


def is_slower(new, old):
    """Return whether the new version's :class:`Tally` shows it to be slower."""
    if new.slow < MIN_SLOW:
        return False
    old_rate = old.slow / old.answers if old.answers else 0.0
    allowed = min(0.9, SLOW_BASE_RATE + SLOW_RATE_FACTOR * old_rate)
    return _tail(new.slow, new.answers, allowed) < CONVICT_BELOW


def is_worse(new, old):
    """Return whether the new version's :class:`Tally` convicts it.

    A one-sided binomial test against the old version's rate in the same time,
    so that what strikes both versions convicts neither.
    """
    if new.bad < MIN_BAD:
        return False
    old_rate = old.bad / old.answers if old.answers else 0.0
    allowed = min(0.9, BASE_RATE + RATE_FACTOR * old_rate)
    return _tail(new.bad, new.answers, allowed) < CONVICT_BELOW


def judge_version(book, order):
    """Return a reason to take the target of *order* back, or None.

    Looks at all routes together and at each one alone: some versions fail on
    one route only.
    """
    new_total = Tally()
    old_total = Tally()
    for key in book.list_keys(order):
        if key.version != order.target:
            continue
        new = book.sum(key)
        old = _sum_others(book, order, key.route)
        if is_worse(new, old) or is_slower(new, old):
            return f"route {key.route}: {_compare(new, old)}"
        new_total = new_total.add(new)
        old_total = old_total.add(old)
    if is_worse(new_total, old_total) or is_slower(new_total, old_total):
        return _compare(new_total, old_total)
    return None


def describe_tallies(book, order):
    """Return what was counted of the target of *order* and of the rest."""
    new = old = Tally()
    for key in book.list_keys(order):
        if key.version == order.target:
            new = new.add(book.sum(key))
        else:
            old = old.add(book.sum(key))
    return _compare(new, old)


def _sum_others(book, order, route):
    total = Tally()
    for key in book.list_keys(order):
        if key.route == route and key.version != order.target:
            total = total.add(book.sum(key))
    return total


def _compare(new, old):
    return (
        f"{new.bad} bad and {new.slow} slow of {new.answers}, "
        f"before {old.bad} and {old.slow} of {old.answers}"
    )


def _tail(count, trials, rate):
    """Return the chance of *count* or more of *trials* at *rate*."""
    below = sum(
        math.comb(trials, k) * rate**k * (1 - rate) ** (trials - k)
        for k in range(count)
    )
    return max(0.0, 1.0 - below)

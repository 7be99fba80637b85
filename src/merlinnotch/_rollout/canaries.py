"""Which upstreams of a new version take its first requests, and how many do."""

import collections

from .._rendezvous import rank

LOADED_PART = 0.6
"""Part of its slots that a canary is to have taken: a version that fails under load
has no reason to do so while most of its slots are free."""
MOST_TIMES = 2.0
"""How many times the usual load a canary gets at most; its callers wait longer."""


def select_canaries(upstreams, service, count):
    """Return those *count* of a version's *upstreams* that take its first requests.

    Every instance that knows the same upstreams selects the same ones, and a larger
    count only adds to them.
    """
    by_id = {upstream.id: upstream for upstream in upstreams}
    return [by_id[name] for name in rank(service, by_id, max(1, count))]


def count_canaries(upstreams, share, usual_load):
    """Return how many of a version's *upstreams* are to carry *share* of the traffic.

    As many as carry that share when all of the traffic is on the version, or fewer
    where that would leave most of their slots free. A version that fails under load
    only then shows it while few requests reach it, and not when all of them do.
    *usual_load* is what upstreams of the version before run, 0 where that is unknown.
    """
    times = 1.0
    if usual_load > 0.0:
        slots = min(upstream.slots for upstream in upstreams)
        times = min(MOST_TIMES, max(1.0, LOADED_PART * slots / usual_load))
    return max(1, round(share * len(upstreams) / times))


def find_usual_load(counts, order):
    """Return how many requests upstreams of the version before *order* run, about.

    *counts* are :class:`AnswerCounts`. 0 where upstreams don't tell.
    """
    bands = collections.Counter()
    for key in counts.times.list_keys(order):
        if key.version != order.target:
            bands[key.load] += counts.times.sum(key).answers
    seen = 0
    for band in sorted(bands):
        seen += bands[band]
        if 2 * seen >= bands.total():
            return _find_middle(band)
    return 0.0


def _find_middle(band):
    """Return the middle of a band of load, as :func:`band_load` makes them."""
    return 0.75 * 2**band if band else 0.0

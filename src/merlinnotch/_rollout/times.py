"""How long answers took, counted so that instances can add it up."""

import math
from dataclasses import dataclass

STEPS_PER_DOUBLING = 8
"""Bands of time by doubling of the time, so that a band is 9 % wide: little beside
the factor of two that makes an answer slow."""
SHORTEST_S = 0.001


@dataclass(frozen=True)
class TimeKey:
    """What is counted together of the times of answers.

    *kind* names answers that take alike at the same load. *load* is a band of
    :func:`band_load` and *step* one of :func:`band_time`. *order* is the index of
    the roll-out's order.
    """

    service: str
    version: str
    route: str
    order: int
    kind: str
    load: int
    step: int


def band_load(running):
    """Return the band of an upstream that says how many requests it runs.

    Bands double: an engine that runs 12 requests is hardly slower than one that
    runs 10, but several times slower than an idle one. None is band 0.
    """
    return 0 if running is None else running.bit_length()


def band_time(seconds):
    """Return the band of a time."""
    steps = STEPS_PER_DOUBLING * math.log2(max(seconds, SHORTEST_S) / SHORTEST_S)
    return round(steps)


def get_seconds(step):
    """Return the middle of a band of time, in seconds."""
    return SHORTEST_S * 2 ** (step / STEPS_PER_DOUBLING)

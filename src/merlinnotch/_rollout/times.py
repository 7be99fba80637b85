"""Bands of answer times and loads, so that instances can add up their counts."""

import math
from dataclasses import dataclass

BANDS_PER_DOUBLING = 8
"""Time bands per doubling of the time. A band is then 9 % wide, little beside the
factor of two that makes an answer slow."""
MIN_TIME_S = 0.001


@dataclass(frozen=True)
class TimeKey:
    """Answers of one version on one route whose times fall into the same band.

    *kind* names a kind of answer whose times are comparable at the same load.
    *load_band* is a band of :func:`get_load_band` and *time_band* a band of
    :func:`get_time_band`. *order* is the index of the rollout's order.
    """

    service: str
    version: str
    route: str
    order: int
    kind: str
    load_band: int
    time_band: int


def get_load_band(running):
    """Return the load band of an upstream with *running* requests.

    Each band covers a doubling of the load, as times depend on its ratio rather than
    its difference. None, for an upstream that reports no load, is in band 0.
    """
    return 0 if running is None else running.bit_length()


def get_time_band(seconds):
    """Return the time band of *seconds*."""
    band = BANDS_PER_DOUBLING * math.log2(max(seconds, MIN_TIME_S) / MIN_TIME_S)
    return round(band)


def get_band_midpoint_s(band):
    """Return the middle of a time band, in seconds."""
    return MIN_TIME_S * 2 ** (band / BANDS_PER_DOUBLING)

"""Urgency of a request at an engine, from 0 (most urgent) to 9."""

from .slots import estimate_slot_interval_ms

SHORT_PREFILL_MS = 100.0
MEDIUM_PREFILL_MS = 300.0
SHORT_URGENCY = 2
MEDIUM_URGENCY = 4
LONG_URGENCY = 6


LAST_RANK = 2
"""Requests of later ranks have the same urgency."""


def choose_urgency(prefill_ms, slots, rank=None):
    """Return the urgency of a request whose prefill takes *prefill_ms*.

    Shortest job first: engines run prefills one after the other, so a short one
    behind a long one would wait many times its own duration.

    All requests get the same urgency if the batch has so few *slots* that waiting for
    one takes longer than a short prefill. Such a batch fills up, and an urgent request
    would then preempt a running one, whose prefill would have to be repeated.

    *rank* is the request's rank, 0 the most urgent, or None if it doesn't matter. It
    decides between requests whose prefills are of the same class.
    """
    if estimate_slot_interval_ms(slots) > SHORT_PREFILL_MS:
        return MEDIUM_URGENCY
    return _choose_by_length(prefill_ms) + _compute_rank_offset(rank)


def _choose_by_length(prefill_ms):
    if prefill_ms < SHORT_PREFILL_MS:
        return SHORT_URGENCY
    return MEDIUM_URGENCY if prefill_ms < MEDIUM_PREFILL_MS else LONG_URGENCY


def _compute_rank_offset(rank):
    """Return -1, 0 or 1, so that a class of lengths never overtakes another one."""
    return 0 if rank is None else min(max(0, rank), LAST_RANK) - 1

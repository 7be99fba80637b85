"""Turnover of the slots in an engine's batch."""

SLOT_HOLD_MS = 2000.0
"""Assumed time for which a request holds its slot. Streams of large models hold it for
3 to 5 s, short answers for 0.2 s."""


def estimate_slot_interval_ms(slots):
    """Return the mean milliseconds between slots becoming free in a full batch."""
    return SLOT_HOLD_MS / max(1, slots)

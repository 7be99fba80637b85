"""How soon a slot in an engine's batch becomes free."""

HELD_MS = 2000.0
"""How long a request holds its slot, about: streams of large models take 3 to 5 s,
short answers 0.2 s."""


def measure_slot_ms(slots):
    """Return the milliseconds between two slots that become free in a full batch."""
    return HELD_MS / max(1, slots)

"""How soon a place in an engine's batch becomes free."""

HELD_MS = 2000.0
"""How long a request holds its place, about: streams of large models take 3 to 5 s,
short answers 0.2 s."""


def measure_place_ms(slots):
    """Return the milliseconds between two places that become free of a full batch."""
    return HELD_MS / max(1, slots)

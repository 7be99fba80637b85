"""How urgent an engine should take a request, from 0 (first) to 9."""

SHORT_MS = 100.0
MIDDLE_MS = 300.0
SHORT = 2
MIDDLE = 4
LONG = 6


def choose_urgency(reading_ms):
    """Return the urgency of a request whose prompt takes *reading_ms* to read.

    Shortest first: engines read prompts one after the other, and a short one
    behind a long one waits many times its own time.
    """
    if reading_ms < SHORT_MS:
        return SHORT
    return MIDDLE if reading_ms < MIDDLE_MS else LONG

"""Parts of responses, which may have no end."""

import time

import eventlet

from .failure import AttemptFailed, FailureReason

PART_BYTES = 65536
MAX_RESPONSE_BYTES = 16 << 20
MAX_PARTS_PER_TURN = 64
LATE_READ_S = 0.5
"""How long after the deadline parts that are there are still taken."""


def read_parts(response):
    """Yield the body of an urllib3 *response* as it arrives."""
    while part := response.read1(PART_BYTES):
        yield part


def limit_parts(parts, deadline):
    """Yield *parts* while they stay within the limits of a response.

    *deadline* is on the monotonic clock. Other tasks run after some of them, as a
    sender that never pauses would hold those up. Raises :class:`AttemptFailed`.
    """
    size = 0
    for number, part in enumerate(parts, 1):
        size += len(part)
        if size > MAX_RESPONSE_BYTES:
            raise AttemptFailed(FailureReason.BROKEN, "the response has no end")
        if time.monotonic() > deadline + LATE_READ_S:
            raise AttemptFailed(FailureReason.SILENT, "still sending at the deadline")
        if number % MAX_PARTS_PER_TURN == 0:
            eventlet.sleep(0)
        yield part

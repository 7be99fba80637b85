"""The answers of our own to callers."""

import msgspec

from .._errors import ErrorKind, Outcome, answer_for
from .._limits import spread_retry_after

MAY_HAVE_RUN = 502
MIN_RETRY_AFTER_S = 0.15
MAX_SHARE_OF_LEFT = 0.3
"""Callers wait as told for up to a third of the time that they have left;
asked to wait longer, they come back when they like."""
RETRY_AFTER_S = {
    ErrorKind.NO_CONFIGURATION: 0.8,
    ErrorKind.NO_UPSTREAM: 0.5,
    ErrorKind.EVACUATED: 5.0,
    ErrorKind.WARMING_UP: 0.5,
    ErrorKind.OVERLOADED: 0.6,
}
"""Base of the time to come back: a configuration or an upstream is there within
a second as a rule, a burst of load is worked off in about that time."""
LASTING = frozenset({ErrorKind.REQUEST_BLOCKED})
"""Kinds whose cause surely outlasts the caller's deadline: it is told the truth, and
may spend what is left on something else."""
NOT_RUN_STATUSES = (408, 421, 429, 503)


def build_refusal(error, left_s, generator):
    """Return status, fields and body for a :class:`RequestRefused`.

    A status that promises "not run" is only given where that holds. The time
    to come back is spread, as callers refused together would return together.
    """
    answer = answer_for(error.kind)
    status = answer.status
    if status in NOT_RUN_STATUSES and error.outcome is not Outcome.NOT_RUN:
        status = MAY_HAVE_RUN
    body = msgspec.json.encode(
        {"error": str(error.kind), "outcome": str(error.outcome)}
    )
    pairs = [("content-type", "application/json")]
    base = error.retry_after_s or RETRY_AFTER_S.get(error.kind)
    if base is not None and status in NOT_RUN_STATUSES:
        wait = spread_retry_after(base, generator)
        if error.kind not in LASTING:
            wait = max(MIN_RETRY_AFTER_S, min(wait, left_s * MAX_SHARE_OF_LEFT))
        pairs.append(("retry-after", f"{wait:.2f}"))
    return status, pairs, body

"""Error responses that the gateway generates itself."""

import math

import msgspec

from .._errors import TIMED_KINDS, ErrorKind, Outcome, get_error_response
from .._limits import jitter_retry_after, spread_retry_after

UNKNOWN_OUTCOME_STATUS = 502
MIN_RETRY_AFTER_S = 0.15
MAX_RETRY_AFTER_SHARE = 0.3
"""Largest Retry-After, as a fraction of the caller's remaining time. Callers ignore
longer delays."""
DEFAULT_RETRY_AFTER_S = {
    ErrorKind.NO_CONFIGURATION: 0.8,
    ErrorKind.NO_UPSTREAM: 0.5,
    ErrorKind.EVACUATED: 5.0,
    ErrorKind.WARMING_UP: 0.5,
    ErrorKind.UPSTREAMS_RESTING: 1.0,
    ErrorKind.UPSTREAMS_LIMITED: 1.0,
    ErrorKind.OVERLOADED: 0.6,
}
"""Base of Retry-After by error kind: the time in which the cause usually ends."""
PERSISTENT_KINDS = frozenset({ErrorKind.REQUEST_BLOCKED})
"""Kinds whose cause outlasts the caller's deadline. Retry-After is then not shortened,
so that callers don't retry too early."""
NOT_RUN_STATUSES = (408, 421, 429, 503)


def build_refusal(error, remaining_s, generator):
    """Return status, header fields and body for a :class:`RequestRefused`.

    Statuses that mean "not run" are only used if that is certain. Retry-After is
    randomized, so that callers refused together don't return together, unless the error
    fixes it. *remaining_s* is the time until the caller's deadline.
    """
    error_answer = get_error_response(error.kind)
    status = error_answer.status
    if status in NOT_RUN_STATUSES and error.outcome is not Outcome.NOT_RUN:
        status = UNKNOWN_OUTCOME_STATUS
    body = msgspec.json.encode(
        {"error": str(error.kind), "outcome": str(error.outcome)}
    )
    pairs = [("content-type", "application/json")]
    if status in NOT_RUN_STATUSES:
        retry_after_s = _compute_retry_after_s(error, remaining_s, generator)
        if retry_after_s is not None:
            pairs.append(("retry-after", f"{retry_after_s:.2f}"))
    return status, pairs, body


def is_false_promise(call, status):
    """Return whether *status* means "not run" for a *call* that may have run.

    It is the status of a response that isn't a refusal. A call that may be repeated
    loses nothing if its caller sends it again.
    """
    return not call.is_retryable and status in NOT_RUN_STATUSES


def _compute_retry_after_s(error, remaining_s, generator):
    """Return the delay to tell the caller, or None."""
    kind = error.kind
    if error.is_delay_fixed:
        return _round_up(error.retry_after_s)
    base_s = error.retry_after_s or DEFAULT_RETRY_AFTER_S.get(kind)
    if base_s is None:
        return None
    if kind in TIMED_KINDS:
        return _round_up(spread_retry_after(base_s, generator, remaining_s))
    retry_after_s = jitter_retry_after(base_s, generator)
    if kind in PERSISTENT_KINDS:
        return retry_after_s
    longest_s = remaining_s * MAX_RETRY_AFTER_SHARE
    return max(MIN_RETRY_AFTER_S, min(retry_after_s, longest_s))


def _round_up(delay_s):
    """Return *delay_s* with two decimals, as the header has, and not less."""
    return math.ceil(delay_s * 100.0) / 100.0

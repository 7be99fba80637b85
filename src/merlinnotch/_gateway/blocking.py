"""Refusal of requests that are known to crash upstreams."""

from .._errors import ErrorKind, Outcome, RequestRefused
from .._poison import fingerprint_parts

MAX_LOGGED_ID_LENGTH = 64
MIN_REMAINING_S = 5.0
"""Least time for which callers are sent away. A block is in force until it is removed,
which is a moment after its end on most instances."""


def find_block(call, blocked, now):
    """Return the :class:`RequestRefused` for *call*, or None if it isn't blocked.

    *blocked* is the :class:`BlockList`. Another attempt would crash one more upstream
    and fail all other requests there.
    """
    if not len(blocked):
        return None
    for key in call.crash_keys:
        if key in blocked:
            remaining_s = blocked.get_remaining_s(key, now)
            return _build_error(call, key, max(MIN_REMAINING_S, remaining_s))
    return None


def _build_error(call, key, remaining_s):
    detail = ", ".join([*call.reasons, _describe_key(call, key)])
    outcome = Outcome.UNKNOWN if call.may_have_run else Outcome.NOT_RUN
    return RequestRefused(ErrorKind.REQUEST_BLOCKED, detail, outcome, remaining_s)


def _describe_key(call, key):
    if key == call.fingerprint:
        return f"request {key.hex()}"
    part_id = next(
        part.id for part in call.headers.prompt if _fingerprint(part.id) == key
    )
    return f"prompt part {part_id[:MAX_LOGGED_ID_LENGTH]}, {key.hex()}"


def _fingerprint(part_id):
    return fingerprint_parts([part_id, ""])[0]

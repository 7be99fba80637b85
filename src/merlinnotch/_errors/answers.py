"""The table from error kind to the answer that a caller gets."""

from dataclasses import dataclass

from .kinds import ErrorKind as K


@dataclass(frozen=True)
class ErrorAnswer:
    """How one kind of error is shown to a caller.

    *type* is the error type that OpenAI-compatible clients expect.
    *retry_after_s* is the base of the Retry-After in seconds, or None where
    coming back with the same request can't help.
    """

    status: int
    type: str
    message: str
    retry_after_s: float | None = None


INVALID = "invalid_request_error"
SERVER = "server_error"

ANSWERS = {
    K.BAD_REQUEST: ErrorAnswer(400, INVALID, "The request is malformed."),
    K.BODY_TOO_LARGE: ErrorAnswer(413, INVALID, "The request body is too large."),
    K.BAD_DEADLINE: ErrorAnswer(400, INVALID, "The deadline is out of range."),
    K.UNAUTHENTICATED: ErrorAnswer(
        401, "authentication_error", "No team has this key."
    ),
    K.NOT_ALLOWED: ErrorAnswer(
        403, "permission_error", "The team may not use this model or service."
    ),
    K.UNKNOWN_MODEL: ErrorAnswer(404, INVALID, "No such kind, model or version."),
    K.UNKNOWN_PATH: ErrorAnswer(404, INVALID, "No such path."),
    K.BAD_SESSION: ErrorAnswer(400, INVALID, "The session token is not valid."),
    K.VERSION_WITHDRAWN: ErrorAnswer(
        410, INVALID, "The session's version has been withdrawn; start a new session."
    ),
    K.VERSION_QUARANTINED: ErrorAnswer(
        503, SERVER, "The session's version is quarantined.", 30
    ),
    K.CONFIGURATION_STALE: ErrorAnswer(
        503, SERVER, "This version needs a fresher configuration.", 5
    ),
    K.NO_CONFIGURATION: ErrorAnswer(
        503, SERVER, "No configuration is in force here yet.", 2
    ),
    K.OVERLOADED: ErrorAnswer(429, "rate_limit_error", "Too much work is waiting.", 1),
    K.NO_UPSTREAM: ErrorAnswer(503, SERVER, "No upstream can take this request.", 2),
    K.EVACUATED: ErrorAnswer(
        503, SERVER, "All zones with upstreams for this request are evacuated.", 5
    ),
    K.WARMING_UP: ErrorAnswer(
        503, SERVER, "Upstreams have just started and take few requests yet.", 1
    ),
    K.REQUEST_BLOCKED: ErrorAnswer(
        503, SERVER, "Upstreams crashed on this request; it is not sent on for now.", 60
    ),
    K.UPSTREAM_FAILED: ErrorAnswer(502, SERVER, "The upstream failed.", 1),
    K.UPSTREAM_SILENT: ErrorAnswer(504, SERVER, "The upstream fell silent.", 1),
    K.DEADLINE_EXCEEDED: ErrorAnswer(504, SERVER, "The deadline has passed.", 1),
    K.OUTCOME_UNKNOWN: ErrorAnswer(
        409, SERVER, "It is not known whether this request ran; it won't run again."
    ),
    K.LEDGER_UNAVAILABLE: ErrorAnswer(
        503, SERVER, "The request ledger can't be reached.", 2
    ),
    K.ANSWER_NOT_KEPT: ErrorAnswer(
        409, INVALID, "The request was answered before; the answer is no longer kept."
    ),
    K.KEY_REUSED: ErrorAnswer(
        422, INVALID, "The idempotency key belongs to a different request."
    ),
    K.SHUTTING_DOWN: ErrorAnswer(503, SERVER, "This instance is shutting down.", 0.5),
    K.INTERNAL: ErrorAnswer(500, SERVER, "Internal error.", 1),
}


def answer_for(kind):
    """Return the :class:`ErrorAnswer` of *kind*."""
    return ANSWERS[kind]

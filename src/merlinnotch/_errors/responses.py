"""Responses sent to callers for each kind of error."""

from dataclasses import dataclass

from .kinds import ErrorKind as K


@dataclass(frozen=True)
class ErrorResponse:
    """The response to a request that failed with an error of one kind.

    *status* is the HTTP status, *type* the error type that OpenAI-compatible clients
    expect. *retry_after_s* is the Retry-After delay in seconds before it is randomized,
    or None if retrying the same request can't succeed.
    """

    status: int
    type: str
    message: str
    retry_after_s: float | None = None


INVALID_REQUEST = "invalid_request_error"
SERVER_ERROR = "server_error"

ERROR_RESPONSES = {
    K.BAD_REQUEST: ErrorResponse(400, INVALID_REQUEST, "The request is malformed."),
    K.BODY_TOO_LARGE: ErrorResponse(
        413, INVALID_REQUEST, "The request body is too large."
    ),
    K.BAD_DEADLINE: ErrorResponse(
        400, INVALID_REQUEST, "The deadline is out of range."
    ),
    K.UNAUTHENTICATED: ErrorResponse(
        401, "authentication_error", "No team has this key."
    ),
    K.NOT_ALLOWED: ErrorResponse(
        403, "permission_error", "The team may not use this model or service."
    ),
    K.UNKNOWN_MODEL: ErrorResponse(
        404, INVALID_REQUEST, "No such kind, model or version."
    ),
    K.UNKNOWN_PATH: ErrorResponse(404, INVALID_REQUEST, "No such path."),
    K.BAD_SESSION: ErrorResponse(
        400, INVALID_REQUEST, "The session token is not valid."
    ),
    K.VERSION_WITHDRAWN: ErrorResponse(
        410,
        INVALID_REQUEST,
        "The session's version has been withdrawn; start a new session.",
    ),
    K.VERSION_QUARANTINED: ErrorResponse(
        503, SERVER_ERROR, "The session's version is quarantined.", 30
    ),
    K.CONFIGURATION_STALE: ErrorResponse(
        503, SERVER_ERROR, "This version needs a fresher configuration.", 5
    ),
    K.NO_CONFIGURATION: ErrorResponse(
        503, SERVER_ERROR, "No configuration is in force here yet.", 2
    ),
    K.OVERLOADED: ErrorResponse(
        429, "rate_limit_error", "Too much work is waiting.", 1
    ),
    K.NO_UPSTREAM: ErrorResponse(
        503, SERVER_ERROR, "No upstream can take this request.", 2
    ),
    K.EVACUATED: ErrorResponse(
        503, SERVER_ERROR, "All zones with upstreams for this request are evacuated.", 5
    ),
    K.WARMING_UP: ErrorResponse(
        503, SERVER_ERROR, "Upstreams have just started and take few requests yet.", 1
    ),
    K.UPSTREAMS_RESTING: ErrorResponse(
        503, SERVER_ERROR, "All upstreams for this request want a rest.", 1
    ),
    K.UPSTREAMS_LIMITED: ErrorResponse(
        503, SERVER_ERROR, "All upstreams for this request limit their requests.", 1
    ),
    K.REQUEST_BLOCKED: ErrorResponse(
        503,
        SERVER_ERROR,
        "Upstreams crashed on this request; it is not sent on for now.",
        60,
    ),
    K.UPSTREAM_FAILED: ErrorResponse(502, SERVER_ERROR, "The upstream failed.", 1),
    K.UPSTREAM_SILENT: ErrorResponse(504, SERVER_ERROR, "The upstream fell silent.", 1),
    K.DEADLINE_EXCEEDED: ErrorResponse(
        504, SERVER_ERROR, "The deadline has passed.", 1
    ),
    K.OUTCOME_UNKNOWN: ErrorResponse(
        409,
        SERVER_ERROR,
        "It is not known whether this request ran; it won't run again.",
    ),
    K.LEDGER_UNAVAILABLE: ErrorResponse(
        503, SERVER_ERROR, "The request ledger can't be reached.", 2
    ),
    K.RESPONSE_EXPIRED: ErrorResponse(
        409,
        INVALID_REQUEST,
        "The request was answered before; the answer is no longer kept.",
    ),
    K.KEY_REUSED: ErrorResponse(
        422, INVALID_REQUEST, "The idempotency key belongs to a different request."
    ),
    K.SHUTTING_DOWN: ErrorResponse(
        503, SERVER_ERROR, "This instance is shutting down.", 0.5
    ),
    K.INTERNAL: ErrorResponse(500, SERVER_ERROR, "Internal error.", 1),
}


TIMED_KINDS = frozenset({K.UPSTREAMS_RESTING, K.UPSTREAMS_LIMITED})
"""Kinds whose cause ends at a known time. Retry-After is never earlier than that."""


def get_error_response(kind):
    """Return the :class:`ErrorResponse` for *kind*, an :class:`ErrorKind`."""
    return ERROR_RESPONSES[kind]

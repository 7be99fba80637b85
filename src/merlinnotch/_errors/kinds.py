"""Kinds of errors reported to callers."""

import enum


class ErrorKind(enum.StrEnum):
    """The reason for which a request failed, as sent to its caller."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BAD_DEADLINE = "bad_deadline"
    UNAUTHENTICATED = "unauthenticated"
    NOT_ALLOWED = "not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_PATH = "unknown_path"
    BAD_SESSION = "bad_session"
    VERSION_WITHDRAWN = "version_withdrawn"
    VERSION_QUARANTINED = "version_quarantined"
    CONFIGURATION_STALE = "configuration_stale"
    NO_CONFIGURATION = "no_configuration"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no_upstream"
    EVACUATED = "evacuated"
    WARMING_UP = "warming_up"
    REQUEST_BLOCKED = "request_blocked"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_SILENT = "upstream_silent"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    OUTCOME_UNKNOWN = "outcome_unknown"
    LEDGER_UNAVAILABLE = "ledger_unavailable"
    RESPONSE_EXPIRED = "answer_not_kept"
    KEY_REUSED = "idempotency_key_reused"
    SHUTTING_DOWN = "shutting_down"
    INTERNAL = "internal"

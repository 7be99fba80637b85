"""Header fields of the platform, decoded once and encoded once."""

from dataclasses import dataclass

from .._errors import MalformedMessage

_ATTEMPT_ID = "x-attempt-id"
_KEY = "x-credential"
_TEAM = "x-tenant"
_DEADLINE = "x-deadline-ms"
_MODEL = "x-model"
_TOKENS = "x-token-counts"
_PREFIX = "x-prompt-prefix"
_LENGTH_HINT = "x-length-hint"
_SESSION = "session"
_LAST_EVENT = "last-event-id"
_EXPECTED_UPSTREAM = "x-expect-instance"
_URGENCY = "x-urgency-class"
_SEAL = "x-server-seal"
_NOT_RUN = "x-not-executed"
_LOAD = "x-server-load"
_CONFIDENCE = "x-confidence"

ANY_MODEL = "*"
MISDIRECTED = 421
MS = 1000.0

REQUEST_DROPPED = frozenset(
    {
        _KEY,
        _TEAM,
        _DEADLINE,
        _EXPECTED_UPSTREAM,
        _URGENCY,
        "x-expect-version",
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
    }
)
"""Fields that only this product may set for an upstream, and the secret key."""


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that requests may share, with its length."""

    id: str
    tokens: int


@dataclass(frozen=True)
class CallHeaders:
    """What a caller's header fields say.

    *deadline_s* is how long the caller waits, from its first byte.
    *model* is None where the product chooses. *last_event* is the id of the
    last event that the caller has of a stream it resumes.
    """

    attempt_id: str
    key: str | None
    deadline_s: float | None
    model: str | None
    prompt: tuple[PromptPart, ...]
    tokens_in: int
    tokens_out: int
    session: str | None
    last_event: int | None


@dataclass(frozen=True)
class AnswerNote:
    """What an upstream's header fields say of itself and of its answer.

    *running*, *waiting* and *slots* are None where it does not tell its load.
    *confidence* is the model's own opinion of the answer, from 0 to 100.
    """

    attempt_id: str | None
    sealed: bool
    encoded: bool
    confidence: float | None
    running: int | None = None
    waiting: int | None = None
    slots: int | None = None


def decode_call(fields):
    """Return the :class:`CallHeaders`; raises :class:`MalformedMessage`."""
    attempt_id = fields.get(_ATTEMPT_ID)
    if not attempt_id:
        raise MalformedMessage("a request needs an id")
    deadline = _read_number(fields, _DEADLINE)
    model = fields.get(_MODEL)
    counts = _read_counts(fields.get(_TOKENS))
    last_event = _read_number(fields, _LAST_EVENT)
    return CallHeaders(
        attempt_id=attempt_id,
        key=fields.get(_KEY),
        deadline_s=None if deadline is None else deadline / MS,
        model=None if model == ANY_MODEL else model,
        prompt=_read_prompt(fields.get(_PREFIX)),
        tokens_in=counts[0],
        tokens_out=counts[1],
        session=fields.get(_SESSION),
        last_event=None if last_event is None else int(last_event),
    )


def encode_call(
    pairs, upstream_id, team, left_s, model=None, last_event=None, urgency=None
):
    """Return the header fields of a request for an upstream.

    *pairs* are the caller's without :data:`REQUEST_DROPPED`; *left_s* is how
    long the upstream may work.
    """
    dropped = set()
    if model is not None:
        dropped.add(_MODEL)
    if last_event is not None:
        dropped.add(_LAST_EVENT)
    headers = [pair for pair in pairs if pair[0] not in dropped]
    headers.append((_DEADLINE, str(max(1, int(left_s * MS)))))
    headers.append((_EXPECTED_UPSTREAM, upstream_id))
    if team is not None:
        headers.append((_TEAM, team))
    if model is not None:
        headers.append((_MODEL, model))
    if last_event is not None:
        headers.append((_LAST_EVENT, str(last_event)))
    if urgency is not None:
        headers.append((_URGENCY, str(urgency)))
    return headers


def is_not_run(status, fields):
    """Return whether the upstream says that it did not run the request."""
    return status == MISDIRECTED or fields.get(_NOT_RUN) is not None


def read_answer(fields):
    """Return the :class:`AnswerNote` of an answer's fields."""
    load = _read_counts(fields.get(_LOAD), 3) if fields.get(_LOAD) else ()
    confidence = _read_number(fields, _CONFIDENCE)
    return AnswerNote(
        attempt_id=fields.get(_ATTEMPT_ID),
        sealed=fields.get(_SEAL) is not None,
        encoded=fields.get("content-encoding") is not None,
        confidence=confidence,
        running=load[0] if load else None,
        waiting=load[1] if load else None,
        slots=load[2] if load else None,
    )


def _read_number(fields, name):
    text = fields.get(name)
    if text is None:
        return None
    try:
        return float(text)
    except ValueError as error:
        raise MalformedMessage(f"{name} is not a number") from error


def _read_counts(text, length=2):
    if not text:
        return (0,) * length
    try:
        counts = tuple(int(part) for part in text.split(","))
    except ValueError as error:
        raise MalformedMessage("counts are not numbers") from error
    return counts if len(counts) == length else (0,) * length


def _read_prompt(text):
    parts = []
    for entry in (text or "").split(","):
        part_id, colon, tokens = entry.strip().rpartition(":")
        if colon and tokens.isdigit():
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)

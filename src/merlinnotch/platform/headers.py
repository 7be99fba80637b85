"""Decoding and encoding of the platform's header fields."""

import hashlib
import math
import re
from dataclasses import dataclass

from .._errors import MalformedMessage

_ATTEMPT_ID = "x-attempt-id"
_API_KEY = "x-credential"
_TEAM = "x-tenant"
_DEADLINE = "x-deadline-ms"
_MODEL = "x-model"
_TOKEN_COUNTS = "x-token-counts"
_PROMPT_PREFIX = "x-prompt-prefix"
_LENGTH_HINT = "x-length-hint"
_SESSION = "session"
_LAST_EVENT = "last-event-id"
_EXPECTED_UPSTREAM = "x-expect-instance"
_URGENCY = "x-urgency-class"
_SERVER_SEAL = "x-server-seal"
_NOT_RUN = "x-not-executed"
_SERVER_LOAD = "x-server-load"
_CONFIDENCE = "x-confidence"
_LEAVING = "server-leaving"
_RETRY_AFTER = "retry-after"
_LIMIT = "server-limit"
_BRITTLE = "server-brittle"

ANY_MODEL = "*"
MISDIRECTED_STATUS = 421
MS_PER_S = 1000.0
REST_STATUS = 503
"""The status whose Retry-After asks this instance for a rest. That of a 429 is for the
caller that is over its own limit."""
DEFAULT_REST_S = 1.0
"""Rest in place of one that is not a number."""
MAX_REST_S = 86_400.0
OVERLONG_REST_S = 60.0
"""Rest in place of one that is longer than MAX_REST_S: it is more likely an error, and
a resting upstream can't correct it."""
DEFAULT_LIMIT_PER_S = 1.0
"""Limit in place of one that is not a number."""
MIN_LIMIT_PER_S = 1.0 / 60.0
"""Least limit: an upstream that gets no requests can't withdraw its limit."""
MAX_LIMIT_PER_S = 10_000.0
_NUMBER = re.compile(r"-?[0-9]+(\.[0-9]+)?")
_LOAD = re.compile(r"[0-9]{1,9}(,[0-9]{1,9}){2,}")
_TOKEN_COUNT = re.compile(r"[0-9]{1,9}")
"""The sum of all counts in one head is exact as a float."""
MAX_PROMPT_PARTS = 128
"""Limit on the parts of a prompt that are kept apart. An object for each of the
thousands that a head may hold would take many times the size of the head."""
MERGED_ID_BYTES = 16
MAX_EVENT_ID = 10**15
"""Larger ids aren't exact as floats."""
USUAL_PACE = 100
"""The fourth figure of a load report if work takes as long as usual."""
DOUBTFUL_LEAVING_S = 5.0
"""How long an upstream counts as leaving whose notice has an unknown value."""
MAX_QUOTED_LENGTH = 40

UNFORWARDED_REQUEST_FIELDS = frozenset(
    {
        _API_KEY,
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
"""Request fields that are not forwarded: the caller's API key, and fields that only
merlinnotch may set.
"""


@dataclass(frozen=True)
class PromptPart:
    """A prompt part that several requests may share; *tokens* is its length."""

    id: str
    tokens: int


@dataclass(frozen=True)
class RequestHeaders:
    """Decoded header fields of a caller's request.

    *api_key* is the caller's API key. *deadline_s* is how many seconds the caller
    waits, counted from the first byte of the request. *model* is None if the caller
    does not ask for a particular one. *tokens_in* and *tokens_out* are token counts of
    the prompt and of the response, 0 if they are not given. *last_event* is the id
    of the last event that the caller received, if it resumes a stream.
    """

    attempt_id: str
    api_key: str | None
    deadline_s: float | None
    model: str | None
    prompt: tuple[PromptPart, ...]
    tokens_in: int
    tokens_out: int
    session: str | None
    last_event: int | None


@dataclass(frozen=True)
class ResponseHeaders:
    """Decoded header fields of an upstream's response.

    *attempt_id* is the id of the request that it answers. *sealed* says whether the
    response carries the upstream's seal, *encoded* whether it has a content encoding.
    *confidence* is the model's own estimate of its response, from 0 to 100.
    *running* and *waiting* count the upstream's requests; with *slots* they are None
    if it does not report its load. *pace* is how many times longer than usual work
    takes on the upstream's machine at this moment, None if it is not reported.
    """

    attempt_id: str | None
    sealed: bool
    encoded: bool
    confidence: float | None
    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    pace: float | None = None


@dataclass(frozen=True)
class _Load:
    """A decoded load report; all fields are None if there is none."""

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    pace: float | None = None


@dataclass(frozen=True)
class UpstreamNotice:
    """What an upstream asks of its senders in one response.

    *attempt_id* is the id of the request that it answers, None if it is missing.
    *leaving_s* is for how long the upstream counts as leaving: 0 if it is not, infinite
    if it says so. *rest_s* is for how long it wants no requests. *limit_per_s* is how
    many requests per second it takes from all instances together, None if it names no
    limit. *is_brittle* tells that it falls over if it has to turn away requests for
    want of room. *problem* describes the values that are invalid and were replaced; it
    is empty if there are none.
    """

    attempt_id: str | None
    leaving_s: float = 0.0
    rest_s: float = 0.0
    limit_per_s: float | None = None
    is_brittle: bool = False
    problem: str = ""

    @property
    def is_leaving(self):
        """Whether the upstream counts as leaving."""
        return self.leaving_s > 0.0


@dataclass(frozen=True)
class _Duration:
    """A decoded duration; *problem* is empty if its value was valid."""

    seconds: float
    problem: str = ""


@dataclass(frozen=True)
class _Limit:
    """A decoded limit; *problem* is empty if its value was valid."""

    per_s: float | None
    problem: str = ""


def decode_request(fields):
    """Return the :class:`RequestHeaders` of a request's header fields.

    Raises :class:`MalformedMessage` if the id is missing, or a number is invalid or out
    of range.
    """
    attempt_id = fields.get(_ATTEMPT_ID)
    if not attempt_id:
        raise MalformedMessage("x-attempt-id is missing")
    deadline = _parse_number(fields, _DEADLINE)
    model = fields.get(_MODEL)
    counts = _parse_counts(fields.get(_TOKEN_COUNTS))
    last_event = _parse_number(fields, _LAST_EVENT)
    if last_event is not None and abs(last_event) > MAX_EVENT_ID:
        raise MalformedMessage(f"{_LAST_EVENT} is out of range")
    return RequestHeaders(
        attempt_id=attempt_id,
        api_key=fields.get(_API_KEY),
        deadline_s=None if deadline is None else deadline / MS_PER_S,
        model=None if model == ANY_MODEL else model,
        prompt=_parse_prompt(fields.get(_PROMPT_PREFIX)),
        tokens_in=counts[0],
        tokens_out=counts[1],
        session=fields.get(_SESSION),
        last_event=None if last_event is None else int(last_event),
    )


def encode_request(
    pairs, upstream_id, team, timeout_s, model=None, last_event=None, urgency=None
):
    """Return the header fields of a request for an upstream.

    *pairs* are the caller's header fields except :data:`UNFORWARDED_REQUEST_FIELDS`.
    The upstream has *timeout_s* seconds to respond. *model* and *last_event* replace
    the caller's values unless they are None.
    """
    dropped = set()
    if model is not None:
        dropped.add(_MODEL)
    if last_event is not None:
        dropped.add(_LAST_EVENT)
    headers = [pair for pair in pairs if pair[0] not in dropped]
    headers.append((_DEADLINE, str(max(1, int(timeout_s * MS_PER_S)))))
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


def was_not_executed(status, fields):
    """Return whether the upstream reports that it did not run the request."""
    return status == MISDIRECTED_STATUS or fields.get(_NOT_RUN) is not None


def get_attempt_id(fields):
    """Return the id of the request that *fields* belong to.

    It is None if they have none, or several that contradict each other.
    """
    ids = {value for name, value in fields.pairs if name == _ATTEMPT_ID}
    return ids.pop() if len(ids) == 1 else None


def has_attempt_id(fields):
    """Return whether *fields* name a request, or several."""
    return fields.get(_ATTEMPT_ID) is not None


def decode_response(fields):
    """Return the :class:`ResponseHeaders` of a response's header fields.

    Raises :class:`MalformedMessage` if a number is invalid.
    """
    load = _decode_load(fields.get(_SERVER_LOAD))
    confidence = _parse_number(fields, _CONFIDENCE)
    return ResponseHeaders(
        attempt_id=get_attempt_id(fields),
        sealed=fields.get(_SERVER_SEAL) is not None,
        encoded=fields.get("content-encoding") is not None,
        confidence=confidence,
        running=load.running,
        waiting=load.waiting,
        slots=load.slots,
        pace=load.pace,
    )


def decode_notice(status, fields):
    """Return the :class:`UpstreamNotice` of a response; never raises."""
    leaving = _decode_leaving(fields.get(_LEAVING))
    rest = _Duration(0.0)
    if status == REST_STATUS:
        rest = _decode_rest(fields.get(_RETRY_AFTER))
    limit = _decode_limit(fields.get(_LIMIT))
    problems = [d.problem for d in (leaving, rest, limit) if d.problem]
    return UpstreamNotice(
        attempt_id=get_attempt_id(fields),
        leaving_s=leaving.seconds,
        rest_s=rest.seconds,
        limit_per_s=limit.per_s,
        is_brittle=fields.get(_BRITTLE) is not None,
        problem="; ".join(problems),
    )


def _decode_leaving(text):
    if text is None or text.strip() == "0":
        return _Duration(0.0)
    if text.strip() == "1":
        return _Duration(math.inf)
    return _Duration(DOUBTFUL_LEAVING_S, f"{_LEAVING} is {_quote(text)}")


def _decode_rest(text):
    if text is None:
        return _Duration(0.0)
    problem = f"{_RETRY_AFTER} is {_quote(text)}"
    if not _NUMBER.fullmatch(text.strip()):
        return _Duration(DEFAULT_REST_S, problem)
    rest_s = float(text)
    if rest_s < 0.0:
        return _Duration(0.0, problem)
    if rest_s > MAX_REST_S:
        return _Duration(OVERLONG_REST_S, problem)
    return _Duration(rest_s)


def _decode_limit(text):
    if text is None:
        return _Limit(None)
    problem = f"{_LIMIT} is {_quote(text)}"
    if not _NUMBER.fullmatch(text.strip()):
        return _Limit(DEFAULT_LIMIT_PER_S, problem)
    per_s = float(text)
    if per_s <= 0.0:
        return _Limit(MIN_LIMIT_PER_S, problem)
    if per_s > MAX_LIMIT_PER_S:
        return _Limit(MAX_LIMIT_PER_S, problem)
    return _Limit(max(MIN_LIMIT_PER_S, per_s))


def _quote(text):
    return repr(text[:MAX_QUOTED_LENGTH])


def _parse_number(fields, name):
    text = fields.get(name)
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError as error:
        raise MalformedMessage(f"{name} is not a number") from error
    if not math.isfinite(number):
        raise MalformedMessage(f"{name} is not a finite number")
    return number


def _decode_load(text):
    """Return the :class:`_Load` of a report, empty if it cannot be read.

    Further figures may follow. A report that cannot be read says nothing about the
    response that carries it, so it raises no error.
    """
    if not text or not _LOAD.fullmatch(text.strip()):
        return _Load()
    running, waiting, slots, *others = (int(figure) for figure in text.split(","))
    pace = others[0] / USUAL_PACE if others else None
    return (
        _Load() if slots == 0 or pace == 0.0 else _Load(running, waiting, slots, pace)
    )


def _parse_counts(text):
    if not text:
        return (0, 0)
    counts = tuple(_parse_token_count(part) for part in text.split(","))
    if None in counts:
        raise MalformedMessage("token counts are not integers of at most nine digits")
    return counts if len(counts) == 2 else (0, 0)


def _parse_token_count(text):
    """Return a count of tokens, or None if *text* is not one."""
    text = text.strip()
    return int(text) if _TOKEN_COUNT.fullmatch(text) else None


def _parse_prompt(text):
    parts = []
    for entry in (text or "").split(","):
        part_id, colon, count = entry.strip().rpartition(":")
        tokens = _parse_token_count(count)
        if colon and tokens is not None:
            parts.append(PromptPart(part_id, tokens))
    return tuple(_merge_middle(parts))


def _merge_middle(parts):
    """Return at most MAX_PROMPT_PARTS parts, those in the middle merged into one.

    Both ends are kept: prompts share their first parts, and the last one is the
    request's own.
    """
    if len(parts) <= MAX_PROMPT_PARTS:
        return parts
    first_count = MAX_PROMPT_PARTS // 2
    last_count = MAX_PROMPT_PARTS - first_count - 1
    middle = parts[first_count:-last_count]
    ids = ",".join(part.id for part in middle).encode("latin-1", "replace")
    digest = hashlib.blake2b(ids, digest_size=MERGED_ID_BYTES).hexdigest()
    merged = PromptPart(digest, sum(part.tokens for part in middle))
    return [*parts[:first_count], merged, *parts[-last_count:]]

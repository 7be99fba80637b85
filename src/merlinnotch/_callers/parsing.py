"""Parsing and validation of callers' requests."""

import hashlib
import json
import re
import time
import uuid
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .._config import Kind, VersionState
from .._errors import ErrorKind, MemoryExhausted, RequestRefused
from .._ledger import hash_request_key
from .._sessions import Session
from .call import ChatCall, ServiceCall

DEADLINE_HEADER = "HTTP_X_MERLINNOTCH_DEADLINE_MS"
SESSION_HEADER = "HTTP_X_MERLINNOTCH_SESSION"
NON_IDEMPOTENT_HEADER = "HTTP_X_MERLINNOTCH_NON_IDEMPOTENT"
IDEMPOTENCY_KEY_HEADER = "HTTP_IDEMPOTENCY_KEY"
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
MAX_DEADLINE_MS = 600_000
DEFAULT_DEADLINE_MS = 30_000
MAX_AFFINITY_CHARS = 256
PART_BYTES = 65536
HOLDING_KEY = "merlinnotch.holding"
"""The request's :class:`Holding` in its WSGI environment."""
TRUE_VALUES = frozenset({"1", "true", "yes"})
FALSE_VALUES = frozenset({"", "0", "false", "no"})


class _StreamOptions(BaseModel):
    model_config = ConfigDict(extra="allow", strict=True)

    include_usage: bool = False


class _Message(BaseModel):
    model_config = ConfigDict(extra="allow", strict=True)

    role: str


class _ChatBody(BaseModel):
    model_config = ConfigDict(extra="allow", strict=True)

    model: Annotated[str, Field(min_length=1, max_length=200)]
    messages: Annotated[list[_Message], Field(min_length=1)]
    stream: bool | None = False
    stream_options: _StreamOptions | None = None
    n: Annotated[int | None, Field(ge=1, le=16)] = 1
    max_tokens: Annotated[int | None, Field(ge=1)] = None


class CallParser:
    """Parses WSGI environments into calls.

    All methods raise :class:`RequestRefused`.
    """

    def __init__(self, settings, tracker, signer):
        self._max_body_bytes = settings.max_body_bytes
        self._tracker = tracker
        self._signer = signer

    def find_team(self, environ):
        """Return the team that the API key in the Authorization header belongs to."""
        catalogue = self._tracker.catalogue
        if catalogue is None:
            raise RequestRefused(ErrorKind.NO_CONFIGURATION)
        scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        team = catalogue.find_team(key.strip()) if scheme.lower() == "bearer" else None
        if team is None:
            raise RequestRefused(ErrorKind.UNAUTHENTICATED)
        return team

    def parse_chat(self, environ):
        """Return the :class:`ChatCall` of a request for a chat completion."""
        team = self.find_team(environ)
        data = self._read_body(environ)
        body, validated = _parse_chat_body(data)
        session = self._parse_session(environ, team)
        kind, session = self._resolve_model(team, validated.model, session)
        idempotent = kind.idempotent and not _parse_flag(environ, NON_IDEMPOTENT_HEADER)
        options = validated.stream_options
        return ChatCall(
            **_parse_common_fields(environ, team, kind.deadline_ms, b"chat\0" + data),
            session=session,
            idempotent=idempotent,
            kind=kind,
            body=body,
            stream=bool(validated.stream),
            include_usage=bool(options and options.include_usage),
            affinity_key=session.id if session else _get_affinity_key(body),
        )

    def parse_service(self, environ, name, path):
        """Return the :class:`ServiceCall` of a request for a plain service."""
        team = self.find_team(environ)
        service = self._tracker.catalogue.services.get(name)
        if service is None:
            raise RequestRefused(ErrorKind.UNKNOWN_PATH)
        if not team.allows(name):
            raise RequestRefused(ErrorKind.NOT_ALLOWED)
        method = environ["REQUEST_METHOD"]
        data = self._read_body(environ)
        idempotent = method in service.idempotent_methods
        if _parse_flag(environ, NON_IDEMPOTENT_HEADER):
            idempotent = False
        if environ.get("QUERY_STRING"):
            path = f"{path}?{environ['QUERY_STRING']}"
        content = f"{method} {path}\0".encode() + data
        return ServiceCall(
            **_parse_common_fields(environ, team, service.deadline_ms, content),
            session=None,
            idempotent=idempotent,
            service=service,
            method=method,
            path=path,
            content_type=environ.get("CONTENT_TYPE", ""),
            body=data,
        )

    def _read_body(self, environ):
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdecimal():
            raise RequestRefused(ErrorKind.BAD_REQUEST, "bad Content-Length")
        if int(length) > self._max_body_bytes:
            raise RequestRefused(ErrorKind.BODY_TOO_LARGE)
        data = bytearray()
        while part := _read_part(environ["wsgi.input"]):
            data += part
            if len(data) > self._max_body_bytes:
                raise RequestRefused(ErrorKind.BODY_TOO_LARGE)
            _count_bytes(environ, len(data))
        if len(data) < int(length):
            raise RequestRefused(ErrorKind.BAD_REQUEST, "the body was cut short")
        if HOLDING_KEY in environ:
            # The caller may have been slow, but waits for the response now.
            environ[HOLDING_KEY].settle()
        return bytes(data)

    def _parse_session(self, environ, team):
        token = environ.get(SESSION_HEADER)
        return self._signer.check(token, team.name) if token else None

    def _resolve_model(self, team, name, session):
        """Return the kind that the model field *name* selects, and the session to use.

        *name* is a kind, a model or a version id. A version id pins the session to that
        version, in a new session if there is none.
        """
        catalogue = self._tracker.catalogue
        if name in catalogue.kinds:
            return catalogue.kinds[name], session
        if name in catalogue.models:
            if not team.allows(name):
                raise RequestRefused(ErrorKind.NOT_ALLOWED)
            return _build_default_kind(name, name), session
        version = catalogue.get_version(name)
        if version is None:
            raise RequestRefused(ErrorKind.UNKNOWN_MODEL, f"no model {name!r}")
        if not (team.may_pin and team.allows(version.model, version.name)):
            raise RequestRefused(ErrorKind.NOT_ALLOWED)
        return _build_default_kind(name, version.model), _pin_session(
            session, team, version
        )


def _read_part(stream):
    """Return the next bytes of a body, b"" at its end.

    Raises :class:`RequestRefused` if the caller is too slow.
    """
    try:
        return stream.read(PART_BYTES)
    except TimeoutError as error:
        raise RequestRefused(ErrorKind.BAD_REQUEST, str(error)) from error


def _count_bytes(environ, size):
    """Count the bytes of a body; raises :class:`RequestRefused` without room."""
    holding = environ.get(HOLDING_KEY)
    if holding is None:
        return
    try:
        holding.resize(size)
    except MemoryExhausted as error:
        raise RequestRefused(ErrorKind.OVERLOADED, str(error)) from error


def _get_affinity_key(body):
    """Return the start of an initial system message, or "" if there is none.

    Requests that share a system message can share an upstream's prefix cache. Other
    messages are rarely shared, so affinity to an upstream would not help.
    """
    first_message = body["messages"][0]
    return (
        str(first_message.get("content"))[:MAX_AFFINITY_CHARS]
        if first_message["role"] == "system"
        else ""
    )


def _parse_chat_body(data):
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise RequestRefused(ErrorKind.BAD_REQUEST, f"bad JSON: {error}") from error
    try:
        return body, _ChatBody.model_validate(body)
    except ValidationError as error:
        first_error = error.errors()[0]
        location = ".".join(str(part) for part in first_error["loc"])
        detail = f"{location}: {first_error['msg']}"
        raise RequestRefused(ErrorKind.BAD_REQUEST, detail) from error


def _parse_common_fields(environ, team, deadline_ms, content):
    key = environ.get(IDEMPOTENCY_KEY_HEADER)
    if key is not None and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        raise RequestRefused(ErrorKind.BAD_REQUEST, "bad Idempotency-Key")
    request_id = key or f"mn-{uuid.uuid4().hex}"
    return {
        "request_id": request_id,
        "key": hash_request_key(team.name, request_id),
        "has_idempotency_key": key is not None,
        "digest": hashlib.blake2b(content, digest_size=8).digest(),
        "team": team,
        "holding": environ.get(HOLDING_KEY),
        "deadline": time.monotonic() + _parse_deadline_ms(environ, deadline_ms) / 1000,
    }


def _parse_deadline_ms(environ, default):
    text = environ.get(DEADLINE_HEADER)
    if text is None:
        return default
    if not (text.isascii() and text.isdigit()) or len(text) > 9:
        raise RequestRefused(ErrorKind.BAD_DEADLINE)
    if not 1 <= int(text) <= MAX_DEADLINE_MS:
        raise RequestRefused(ErrorKind.BAD_DEADLINE)
    return int(text)


def _parse_flag(environ, header):
    value = environ.get(header, "").lower()
    if value in TRUE_VALUES:
        return True
    if value in FALSE_VALUES:
        return False
    raise RequestRefused(ErrorKind.BAD_REQUEST, "bad non-idempotent mark")


def _build_default_kind(name, model):
    """Return the default kind for a request that selects a model or version."""
    return Kind(name, 0.0, (model,), DEFAULT_DEADLINE_MS, True, 5, 0.0)


def _pin_session(session, team, version):
    pinned = session.get_pin((version.model,)) if session else None
    if pinned == version.id:
        return session
    if pinned:
        detail = f"the session uses {pinned}"
        raise RequestRefused(ErrorKind.BAD_SESSION, detail)
    if version.state not in (VersionState.SERVING, VersionState.ROLLING_OUT):
        raise RequestRefused(ErrorKind.VERSION_WITHDRAWN)
    session = session or Session(uuid.uuid4().hex, team.name, ())
    return session.pin(version.id)

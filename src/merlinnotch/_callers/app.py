"""The WSGI application that serves callers."""

import json
import logging
import math

from .._errors import (
    TIMED_KINDS,
    ErrorKind,
    Outcome,
    RequestRefused,
    get_error_response,
)
from .._limits import jitter_retry_after, spread_retry_after
from .._sessions import Session
from .parsing import HOLDING_KEY, PART_BYTES
from .running import RunningRequests

logger = logging.getLogger("merlinnotch")

CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
SERVICES_PREFIX = "/services/"
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
CONNECTION_KEY = "merlinnotch.connection"
"""What tells the caller's pace, and ends its connection, in the WSGI environment."""
JSON_TYPE = "application/json"
STREAM_TYPE = "text/event-stream"


class CallerApp:
    """Routes requests, and turns every :class:`RequestRefused` into a response."""

    def __init__(self, state, parser, chat, services):
        self._state = state
        self._parser = parser
        self._chat = chat
        self._services = services
        self._running = RunningRequests()
        self._ends_at = math.inf

    def refuse_longer_than(self, until):
        """Refuse requests from now on whose deadline is later than *until*.

        It is on the monotonic clock. They could not be answered in the time that the
        instance has left.
        """
        self._ends_at = until

    def end_requests(self):
        """Answer the requests in progress, as the process ends.

        Those whose answer is being written go on.
        """
        self._running.interrupt()

    def __call__(self, environ, start_response):
        self._state.metrics.in_progress.inc()
        reply = _Reply(self._state, start_response, environ, self._running)
        environ[HOLDING_KEY] = reply.holding
        try:
            return reply.track(self._route(environ, reply))
        except RequestRefused as refusal:
            return reply.track(reply.refuse(refusal))
        except Exception:
            logger.exception("request failed")
            return reply.track(reply.refuse(self._build_internal_refusal(reply)))

    def _route(self, environ, reply):
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if path in ("/healthz", "/readyz"):
            return self._answer_probe(path, reply)
        if path == CHAT_PATH and method == "POST":
            return self._answer_chat(environ, reply)
        if path == MODELS_PATH and method == "GET":
            return self._list_models(environ, reply)
        if path.startswith(SERVICES_PREFIX):
            return self._answer_service(environ, reply, path)
        raise RequestRefused(ErrorKind.UNKNOWN_PATH)

    def _answer_probe(self, path, reply):
        passed = self._state.is_probe_passing(path)
        status = 200 if passed else 503
        return reply.send(status, "text/plain", b"ok\n" if status == 200 else b"no\n")

    def _answer_chat(self, environ, reply):
        call = self._parser.parse_chat(environ)
        self._begin(call, reply)
        self._state.outbox.check_capacity()
        if call.stream:
            return self._stream_chat(call, reply)
        answer = self._chat.answer(call)
        return reply.answer(answer)

    def _stream_chat(self, call, reply):
        stream = self._chat.answer_stream(call)
        first_event = next(stream.events)
        reply.start_stream(stream.version_id)
        return _StreamBody(first_event, stream.events, reply)

    def _answer_service(self, environ, reply, path):
        name, slash, rest = path.removeprefix(SERVICES_PREFIX).partition("/")
        call = self._parser.parse_service(environ, name, slash + rest or "/")
        self._begin(call, reply)
        self._state.outbox.check_capacity()
        return reply.answer(self._services.answer(call))

    def _begin(self, call, reply):
        reply.call = call
        if call.deadline > self._ends_at:
            raise RequestRefused(ErrorKind.SHUTTING_DOWN)

    def _list_models(self, environ, reply):
        team = self._parser.find_team(environ)
        catalogue = self._state.configurer.tracker.catalogue
        names = [
            kind.name
            for kind in catalogue.kinds.values()
            if any(_may_use_model(team, catalogue.models[name]) for name in kind.models)
        ]
        names += [name for name in catalogue.models if team.allows(name)]
        entries = [
            {"id": name, "object": "model", "created": 0, "owned_by": "merlinnotch"}
            for name in names
        ]
        body = json.dumps({"object": "list", "data": entries}).encode()
        return reply.send(200, JSON_TYPE, body)

    def _build_internal_refusal(self, reply):
        may_have_run = reply.call is not None and (
            reply.call.may_have_been_sent or reply.call.has_idempotency_key
        )
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        return RequestRefused(ErrorKind.INTERNAL, outcome=outcome)


def _may_use_model(team, model):
    return any(team.allows(model.name, version.name) for version in model.versions)


def _build_retry_headers(kind, base_s):
    if kind in TIMED_KINDS:
        retry_after_s = spread_retry_after(base_s)
        seconds = math.ceil(retry_after_s)
        milliseconds = math.ceil(retry_after_s * 1000)
    else:
        retry_after_s = jitter_retry_after(base_s)
        seconds = max(1, round(retry_after_s))
        milliseconds = round(retry_after_s * 1000)
    return [("Retry-After", str(seconds)), ("Retry-After-Ms", str(milliseconds))]


class _Reply:
    """Starts the response to one request and counts its outcome."""

    def __init__(self, state, start_response, environ, running):
        self._state = state
        self._start_response = start_response
        self._connection = environ.get(CONNECTION_KEY)
        self._is_head = environ["REQUEST_METHOD"] == "HEAD"
        self._running = running
        self._is_complete = False
        self.call = None
        self.holding = self._hold()
        running.add(self)

    @property
    def can_be_refused(self):
        """Whether the request has been read and its answer isn't complete yet.

        While the caller is waited for, nothing can be written.
        """
        is_writing = self._connection is not None and self._connection.is_waiting
        return self.call is not None and not self._is_complete and not is_writing

    def _hold(self):
        """Return a :class:`Holding` for the bodies of the request and its response."""
        if self._connection is None:
            return self._state.memory.hold()
        connection = self._connection
        return self._state.memory.hold(connection.end, connection.pace)

    def track(self, body):
        """Return *body*, wrapped to count as in progress until it is closed."""
        return _TrackedBody(body, self._end)

    def _end(self):
        self._running.remove(self)
        self._state.metrics.in_progress.dec()
        self.holding.release()

    def send(self, status, content_type, body, headers=()):
        """Start a response of known length; return its body as a list."""
        self._is_complete = True
        headers = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            *headers,
            *self._build_connection_headers(),
        ]
        phrase = REASON_PHRASES.get(status, "Status")
        self._start_response(f"{status} {phrase}", headers)
        # The server would write it, and the caller read it as the next response.
        return [] if self._is_head else [body]

    def answer(self, answer):
        """Start the response to an answered request; return its body."""
        if self._connection is not None:
            self._connection.pace.reset()
            self.holding.settle(self._connection.end, self._connection.pace)
        self._count_outcome(Outcome.ANSWERED)
        headers = self._build_answer_headers(answer.version)
        return self.send(answer.status, answer.content_type, answer.body, headers)

    def start_stream(self, version_id):
        """Start a streamed response."""
        if self._connection is not None:
            self._connection.pace.reset()
        headers = [("Content-Type", STREAM_TYPE), ("Cache-Control", "no-store")]
        headers += (
            self._build_answer_headers(version_id) + self._build_connection_headers()
        )
        self._start_response("200 OK", headers)

    def refuse(self, refusal):
        """Start the response to a refused request; return its body."""
        self._count_outcome(refusal.outcome, refusal.kind)
        answer = get_error_response(refusal.kind)
        headers = [
            ("X-Merlinnotch-Outcome", refusal.outcome.value),
            ("X-Merlinnotch-Error-Kind", refusal.kind.value),
        ]
        base_s = refusal.retry_after_s or answer.retry_after_s
        if base_s is not None:
            headers += _build_retry_headers(refusal.kind, base_s)
        if self.call is not None:
            headers.append(("X-Request-Id", self.call.request_id))
        body = json.dumps({"error": build_error_object(refusal)}).encode()
        return self.send(answer.status, JSON_TYPE, body, headers)

    def end_stream(self, outcome, kind=None):
        """Count the outcome of a streamed response, of which the end is written."""
        self._is_complete = True
        self._count_outcome(outcome, kind)

    def _build_answer_headers(self, version_id):
        call = self.call
        headers = [
            ("X-Request-Id", call.request_id),
            ("X-Merlinnotch-Version", version_id),
            ("X-Merlinnotch-Outcome", Outcome.ANSWERED.value),
        ]
        if "@" in version_id:
            session = call.session or Session(call.request_id, call.team.name, ())
            token = self._state.signer.sign(session.pin(version_id))
            headers.append(("X-Merlinnotch-Session", token))
        return headers

    def _build_connection_headers(self):
        return [("Connection", "close")] if self._state.leaving else []

    def _count_outcome(self, outcome, kind=None):
        self._state.metrics.requests.labels(outcome.value).inc()
        if kind is not None:
            self._state.metrics.refusals.labels(kind.value).inc()


class _StreamBody:
    """The body of a streamed answer.

    After a failure the stream ends with an error event instead of ``[DONE]``.
    """

    def __init__(self, first_event, events, reply):
        self._first_event = first_event
        self._events = events
        self._reply = reply

    def __iter__(self):
        try:
            yield self._first_event + b"\n\n"
            for event in self._events:
                yield event + b"\n\n"
        except RequestRefused as refusal:
            yield self._end_with_error(refusal)
        except Exception:
            logger.exception("stream failed")
            yield self._end_with_error(
                RequestRefused(ErrorKind.INTERNAL, outcome=Outcome.UNKNOWN)
            )
        else:
            self._reply.end_stream(Outcome.ANSWERED)
            yield b"data: [DONE]\n\n"

    def close(self):
        """Stop the events; the server calls this at the end or on a disconnect."""
        self._events.close()

    def _end_with_error(self, refusal):
        self._reply.end_stream(refusal.outcome, refusal.kind)
        return (
            b"data: "
            + json.dumps({"error": build_error_object(refusal)}).encode()
            + b"\n\n"
        )


class _TrackedBody:
    """A body whose request is in progress until it is closed; then calls *on_end*."""

    def __init__(self, body, on_end):
        self._body = body
        self._on_end = on_end

    def __iter__(self):
        for data in self._body:
            # The server copies what it writes.
            for start in range(0, len(data), PART_BYTES):
                yield data[start : start + PART_BYTES]

    def close(self):
        """End the request and close the body; the server calls this once."""
        self._on_end()
        if hasattr(self._body, "close"):
            self._body.close()


def build_error_object(refusal):
    """Return the error object that OpenAI-compatible clients expect."""
    return {
        "message": str(refusal),
        "type": get_error_response(refusal.kind).type,
        "code": refusal.kind.value,
        "param": None,
        "outcome": refusal.outcome.value,
    }

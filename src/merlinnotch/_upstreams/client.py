"""The HTTP client for upstreams."""

import contextlib
import json
import time

import urllib3

from .._pooled_http import make_pool_manager, set_read_timeout
from .failure import AttemptFailed, FailureReason
from .parts import PART_BYTES, limit_parts, read_parts
from .silence import MIN_LIMIT_S, SilenceLimiter

CONNECT_TIMEOUT_S = 0.5
INTER_TOKEN_TIMEOUT_S = 1.0
"""Maximum time between two tokens of an answer if another attempt can follow."""

MIN_FIRST_TOKEN_LIMIT_S = 1.0
MAX_FIRST_TOKEN_LIMIT_S = 10.0
FIRST_TOKEN_LIMIT_FACTOR = 5.0
SMOOTHING = 0.05
MAX_POOLS = 512
MAX_IDLE_CONNECTIONS = 128

REQUEST_ID_HEADER = "X-Request-Id"
NOT_RUN_HEADER = "X-Not-Run"
"""Response header with the reason for which the upstream did not run a request."""

REASONS_BY_NOT_RUN_CODE = {
    "overloaded": FailureReason.OVERLOADED,
    "leaving": FailureReason.LEAVING,
    "model_not_found": FailureReason.VERSION_MISSING,
}
DONE_EVENT = b"data: [DONE]"
ERROR_EVENT = b'data: {"error"'
EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1 << 20
MAX_DETAIL_BYTES = 4096
UNCLEAR_STATUSES = frozenset({408, 409, 429})
"""An upstream may answer so after it has run the request; other client errors reject
the form of a request."""


class UpstreamClient:
    """Sends requests to upstreams over pooled connections.

    A response has to repeat the id of its request, or else the attempt fails. A
    connection is reused only if the response was read to its end, which a refusal
    isn't. *notices* is the :class:`ResponseNotices` that records what responses say
    about their upstream.
    """

    def __init__(self, source_ip, notices):
        self._notices = notices
        options = {
            "num_pools": MAX_POOLS,
            "maxsize": MAX_IDLE_CONNECTIONS,
            "retries": False,
            "source_address": (source_ip, 0),
        }
        self._pool_manager = make_pool_manager(**options)
        self._mean_first_token_s = MIN_FIRST_TOKEN_LIMIT_S / FIRST_TOKEN_LIMIT_FACTOR

    def stream(self, upstream, call, version, position, may_retry=lambda now: False):
        """Yield the server-sent events of a chat completion, as bytes.

        Asks the upstream to resume after *position* events, which earlier attempts
        received. An upstream that is silent is given up before the call's deadline
        only if *may_retry*, called with the time, says that another attempt can follow.
        Raises :class:`AttemptFailed`.
        """
        body = {
            **call.body,
            "model": version.id,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        headers = {
            "Content-Type": "application/json",
            REQUEST_ID_HEADER: call.request_id,
            "X-Priority": str(call.kind.priority),
        }
        if position:
            headers["X-Resume-From"] = str(position)
        url = f"http://{upstream.listed.address}/v1/chat/completions"
        started = time.monotonic()
        deadline = started + call.time_left_s
        limiter = SilenceLimiter(call, may_retry)
        wait_s = limiter.compute_limit(self._first_token_limit_s(), started)
        response = self._send("POST", url, json.dumps(body), headers, wait_s, call)
        # If the caller disconnects, closing also cancels the request upstream.
        with _translate_errors(), releasing_connection(response):
            rest_s = self._record_notice(upstream, response, call, started)
            _check_response(response, call.request_id, rest_s)
            _check_not_rejected(response)
            chunks = self._read_chunks(response, limiter, started)
            yield from _split_events(limit_parts(chunks, deadline))

    def call_service(self, upstream, call):
        """Return the response of a plain service, and its body.

        A request that is not idempotent gets a new connection: a pooled one may have
        been closed by the upstream, which shows only after the request was sent.
        Raises :class:`AttemptFailed`.
        """
        headers = {REQUEST_ID_HEADER: call.request_id}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if not call.idempotent:
            headers["Connection"] = "close"
        url = f"http://{upstream.listed.address}{call.path}"
        wait_s = call.time_left_s
        started = time.monotonic()
        response = self._send(
            call.method,
            url,
            call.body,
            headers,
            wait_s,
            call,
            new_connection=not call.idempotent,
        )
        with _translate_errors(), releasing_connection(response):
            rest_s = self._record_notice(upstream, response, call, started)
            # Before the body is read, so that the connection is closed if this fails.
            # A late copy of a refusal would have the id of the request's next attempt.
            _check_response(response, call.request_id, rest_s)
            parts = limit_parts(read_parts(response), started + wait_s)
            return response, b"".join(_count_parts(parts, call))

    def _send(self, method, url, body, headers, wait_s, call, new_connection=False):
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, max(MIN_LIMIT_S, wait_s)),
            read=max(MIN_LIMIT_S, wait_s),
        )
        manager = (
            self._make_single_use_manager() if new_connection else self._pool_manager
        )
        # Attempts.record_failure() resets this if the request did not run.
        call.may_have_been_sent = True
        with _translate_errors():
            return manager.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
            )

    def _record_notice(self, upstream, response, call, started):
        """Record the notice of a response, before others may raise; return its rest.

        A refusal may lack the id of its request. A response to another request may
        come from another upstream.
        """
        response_id = response.headers.get(REQUEST_ID_HEADER)
        if response_id not in (None, call.request_id):
            return 0.0
        now = time.monotonic()
        notice = self._notices.record(upstream, response, now)
        was_run = response_id is not None and NOT_RUN_HEADER not in response.headers
        self._notices.record_limit(upstream, notice, started, now, call.permit, was_run)
        return notice.rest_s

    def _make_single_use_manager(self):
        options = self._pool_manager.connection_pool_kw
        return make_pool_manager(num_pools=1, **{**options, "maxsize": 1})

    def _read_chunks(self, response, limiter, started):
        chunks = response.read_chunked(PART_BYTES)
        limit_s = self._first_token_limit_s()
        is_first = True
        while True:
            timeout_s = limiter.compute_limit(limit_s, time.monotonic())
            set_read_timeout(response, timeout_s)
            chunk = next(chunks, None)
            if chunk is None:
                return
            if is_first:
                is_first = False
                self._record_first_token(time.monotonic() - started)
                limit_s = INTER_TOKEN_TIMEOUT_S
            yield chunk

    def _first_token_limit_s(self):
        limit = self._mean_first_token_s * FIRST_TOKEN_LIMIT_FACTOR
        return min(MAX_FIRST_TOKEN_LIMIT_S, max(MIN_FIRST_TOKEN_LIMIT_S, limit))

    def _record_first_token(self, duration_s):
        # A single wait until a late deadline must not raise the limit for others.
        duration_s = min(MAX_FIRST_TOKEN_LIMIT_S, duration_s)
        self._mean_first_token_s += SMOOTHING * (duration_s - self._mean_first_token_s)


def _count_parts(parts, call):
    """Yield *parts* of the response; raises :class:`MemoryExhausted` without room."""
    size = len(call.body)
    for part in parts:
        size += len(part)
        if call.holding is not None:
            call.holding.resize(size)
        yield part


def _split_events(chunks):
    """Yield the events of a stream up to [DONE]; raises :class:`AttemptFailed`."""
    buffer = b""
    done = False
    for chunk in chunks:
        buffer += chunk
        events = buffer.split(EVENT_END)
        buffer = events.pop()
        if len(buffer) > MAX_EVENT_BYTES:
            raise AttemptFailed(FailureReason.BROKEN, "an event has no end")
        for event in events:
            if event == DONE_EVENT:
                # Only a response read to its end leaves the connection reusable.
                done = True
            elif event.startswith(ERROR_EVENT):
                raise AttemptFailed(FailureReason.ERROR, event.decode()[:200])
            elif not done:
                yield event
    if not done:
        raise AttemptFailed(FailureReason.BROKEN, "the stream ended before [DONE]")


def _check_response(response, request_id, rest_s):
    if response.headers.get(REQUEST_ID_HEADER) != request_id:
        raise AttemptFailed(FailureReason.MISMATCHED)
    reason = REASONS_BY_NOT_RUN_CODE.get(response.headers.get(NOT_RUN_HEADER, ""))
    if reason is FailureReason.OVERLOADED and rest_s > 0.0:
        raise AttemptFailed(FailureReason.RESTING, f"{rest_s:g} s of rest")
    if reason is not None:
        raise AttemptFailed(reason)
    if response.status >= 500:
        raise AttemptFailed(FailureReason.ERROR, f"status {response.status}")


def _check_not_rejected(response):
    if response.status in UNCLEAR_STATUSES:
        raise AttemptFailed(FailureReason.ERROR, f"status {response.status}")
    if response.status >= 400:
        detail = response.read(MAX_DETAIL_BYTES).decode(errors="replace")[:200]
        raise AttemptFailed(FailureReason.REJECTED, detail)


@contextlib.contextmanager
def _translate_errors():
    """Raise the errors of urllib3 as :class:`AttemptFailed`."""
    try:
        yield
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        raise AttemptFailed(FailureReason.CONNECT) from error
    except urllib3.exceptions.ReadTimeoutError as error:
        raise AttemptFailed(FailureReason.SILENT) from error
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise AttemptFailed(FailureReason.BROKEN) from error


@contextlib.contextmanager
def releasing_connection(response):
    """Return the connection to its pool, closed unless the response was read fully."""
    try:
        yield
    finally:
        if not response.closed:
            response.close()
        response.release_conn()

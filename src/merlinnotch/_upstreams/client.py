"""HTTP towards upstreams."""

import contextlib
import json
import time

import urllib3

from .failure import AttemptFailed, FailureReason

CONNECT_TIMEOUT_S = 0.5
GAP_TIMEOUT_S = 1.0
"""Longest silence between two tokens before an engine counts as silent."""

MIN_FIRST_TOKEN_S = 1.0
MAX_FIRST_TOKEN_S = 10.0
FIRST_TOKEN_FACTOR = 5.0
SMOOTHING = 0.05
POOLS = 512
CONNECTIONS = 128

REQUEST_ID = "X-Request-Id"
NOT_RUN = "X-Not-Run"
"""Header by which an upstream says that it ran nothing, and why."""

NOT_RUN_CODES = {
    "overloaded": FailureReason.OVERLOADED,
    "leaving": FailureReason.LEAVING,
    "model_not_found": FailureReason.VERSION_MISSING,
}
DONE = b"data: [DONE]"
ERROR_EVENT = b'data: {"error"'
EVENT_END = b"\n\n"


class UpstreamClient:
    """Owns the connections to upstreams.

    A reply must carry back the id of the request it answers; a connection
    whose reply doesn't, or that failed or fell silent, is never used again.
    """

    def __init__(self, source_ip):
        options = {
            "num_pools": POOLS,
            "maxsize": CONNECTIONS,
            "retries": False,
            "source_address": (source_ip, 0),
        }
        self._pooled = urllib3.PoolManager(**options)
        self._first_token_s = MIN_FIRST_TOKEN_S / FIRST_TOKEN_FACTOR

    def stream(self, upstream, call, version, position):
        """Yield the server-sent events of an engine's answer, as bytes.

        Starts after *position* events that an earlier attempt has had. Raises
        :class:`AttemptFailed`.
        """
        body = {
            **call.body,
            "model": version.id,
            "stream": True,
            "stream_options": {"include_usage": True},
        }
        headers = {
            "Content-Type": "application/json",
            REQUEST_ID: call.request_id,
            "X-Priority": str(call.kind.priority),
        }
        if position:
            headers["X-Resume-From"] = str(position)
        url = f"http://{upstream.listed.address}/v1/chat/completions"
        started = time.monotonic()
        wait_s = min(call.time_left_s, self._first_token_limit_s())
        response = self._send("POST", url, json.dumps(body), headers, wait_s, call)
        # Closing also cancels at the engine when the caller has gone.
        with _translate_errors(), _finishing(response):
            _check_reply(response, call.request_id)
            _check_accepted(response)
            yield from self._read_events(response, call, started)

    def call_service(self, upstream, call):
        """Return the whole response of a plain service.

        A request that may not run twice gets a new connection, since a pooled
        one may turn out dead only after the request was sent.
        """
        headers = {REQUEST_ID: call.request_id}
        if call.content_type:
            headers["Content-Type"] = call.content_type
        if not call.idempotent:
            headers["Connection"] = "close"
        url = f"http://{upstream.listed.address}{call.path}"
        wait_s = call.time_left_s
        response = self._send(
            call.method,
            url,
            call.body,
            headers,
            wait_s,
            call,
            fresh=not call.idempotent,
        )
        with _translate_errors(), _finishing(response):
            data = response.read()
            _check_reply(response, call.request_id)
            return response, data

    def _send(self, method, url, body, headers, wait_s, call, fresh=False):
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, max(0.01, wait_s)), read=max(0.01, wait_s)
        )
        http = self._make_fresh() if fresh else self._pooled
        # Taken back by whoever judges the failure, where nothing ran.
        call.sent = True
        with _translate_errors():
            return http.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
            )

    def _make_fresh(self):
        options = self._pooled.connection_pool_kw
        return urllib3.PoolManager(num_pools=1, **{**options, "maxsize": 1})

    def _read_events(self, response, call, started):
        rest = b""
        first, done = True, False
        for chunk in response.read_chunked():
            if first:
                first = False
                self._note_first_token(time.monotonic() - started)
                _set_read_timeout(response, min(GAP_TIMEOUT_S, call.time_left_s))
            rest += chunk
            events = rest.split(EVENT_END)
            rest = events.pop()
            for event in events:
                if event == DONE:
                    # Read on to the end of the reply, so that the connection
                    # can be used again.
                    done = True
                elif event.startswith(ERROR_EVENT):
                    raise AttemptFailed(FailureReason.ERROR, event.decode()[:200])
                elif not done:
                    yield event
        if not done:
            raise AttemptFailed(FailureReason.BROKEN, "the stream ended early")

    def _first_token_limit_s(self):
        limit = self._first_token_s * FIRST_TOKEN_FACTOR
        return min(MAX_FIRST_TOKEN_S, max(MIN_FIRST_TOKEN_S, limit))

    def _note_first_token(self, duration_s):
        self._first_token_s += SMOOTHING * (duration_s - self._first_token_s)


def _check_reply(response, request_id):
    if response.headers.get(REQUEST_ID) != request_id:
        raise AttemptFailed(FailureReason.MISMATCHED)
    not_run = NOT_RUN_CODES.get(response.headers.get(NOT_RUN, ""))
    if not_run is not None:
        raise AttemptFailed(not_run)
    if response.status >= 500:
        raise AttemptFailed(FailureReason.ERROR, f"status {response.status}")


def _check_accepted(response):
    if response.status >= 400:
        detail = response.read().decode(errors="replace")[:200]
        raise AttemptFailed(FailureReason.REJECTED, detail)


def _set_read_timeout(response, seconds):
    sock = getattr(response.connection, "sock", None)
    if sock is not None:
        sock.settimeout(max(0.01, seconds))


@contextlib.contextmanager
def _translate_errors():
    """Turn the HTTP library's errors into failed attempts."""
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
def _finishing(response):
    """Give the connection back if the reply was read to its end, else close it."""
    try:
        yield
    finally:
        if not response.closed:
            response.close()
        response.release_conn()

"""The server for callers: connections, their requests and the request log."""

import logging
import math
import random

import eventlet

from .._errors import (
    CallerDisconnected,
    ErrorKind,
    MalformedMessage,
    MemoryExhausted,
    Outcome,
    RequestRefused,
    TransportError,
)
from .._fleet import CallerLimits
from .._http import CallerConnection, Listener
from .._limits import ConnectionGate, ConnectionTraffic
from .blocking import find_block
from .idle_connections import wait_for_request
from .sources import CallerSource

logger = logging.getLogger("merlinnotch")

RESTART_DURATION_S = 1.3
"""Time from the exit of a process until its successor is ready, including the
platform's restart delay."""
READY_TIMEOUT_S = 0.6
"""Limit on how long callers of a new process wait for the first reply of the store."""
READY_POLL_INTERVAL_S = 0.01
OVERLOAD_LOG_PAUSE_S = 10.0
"""An overload is logged if no connections were refused for this long before."""
NO_MEMORY_STATUS = 503
NO_MEMORY_RETRY_AFTER_S = 1
"""Responses, which hold most of the memory, take less than a second."""
WRITE_TIMEOUT_S = 10.0
"""A connection is closed if the caller accepts no bytes for this long, or takes so much
longer for a response than at the least rate."""


class Gateway:
    """Serves callers on *address*, forwarding requests with *forwarder*.

    *link_budget* is the :class:`LinkBudget` of the instance. *sock* is a listening
    socket to use instead of opening *address*. Of more than *max_connections* the one
    that has been idle for longest is closed for a new one.
    """

    def __init__(
        self,
        address,
        forwarder,
        parts,
        link_budget,
        generator=random,
        sock=None,
        max_connections=math.inf,
    ):
        self._max_connections = max_connections
        self._closed_for_others = set()
        self._link_budget = link_budget
        self._forwarder = forwarder
        self._caller_source = CallerSource()
        self._view = parts.view
        self._metrics = parts.metrics
        self._memory = parts.memory
        self._read_clock = parts.read_clock
        self._generator = generator
        # In the order in which they began to wait.
        self._waiting_connections = {}
        self._interrupters = set()
        self._admission_gate = parts.admission_gate
        self.is_shutting_down = False
        self._shutdown_at = None
        self.in_flight = 0
        self._gate = ConnectionGate()
        self._last_paused_at = -math.inf
        self._listener = Listener(
            address, self._serve, sock, self._wait_until_ready, self._try_accept
        )

    def close(self):
        """Stop accepting connections."""
        self._listener.close()

    def begin_shutdown(self):
        """Announce the end of connections and refuse the requests that wait for room.

        Other instances can serve those requests; this one would use up its grace period
        for them.
        """
        self.is_shutting_down = True
        self._admission_gate.close()

    def refuse_longer_than(self, until):
        """Refuse requests from now on whose route timeout ends after the time *until*.

        The listener stays open, so that callers get a Retry-After header and reach this
        instance after its restart. Refused connections would send them to the next
        instance of the zone, which may be shutting down as well.
        """
        self._shutdown_at = until

    def close_idle(self):
        """Close the connections on which no request has begun to arrive."""
        for connection in list(self._waiting_connections):
            if connection.is_idle:
                connection.shut_down()

    @property
    def is_busy(self):
        """Whether requests are in progress or arriving."""
        return bool(self.in_flight) or any(
            not connection.is_idle for connection in self._waiting_connections
        )

    def end_requests(self):
        """Refuse or cut off the requests in progress, as the process ends."""
        for interrupter in list(self._interrupters):
            interrupter.interrupt(_build_stop_error)

    def end_blocked_requests(self, fingerprint):
        """Refuse the requests that wait for an upstream which they would crash.

        *fingerprint* was blocked just now. They wait there or at this instance. Runs
        that have begun go on: if the upstream survives one, the block is lifted.
        """
        for interrupter in list(self._interrupters):
            if fingerprint in interrupter.call.crash_keys:
                interrupter.interrupt(self._find_block)

    def _find_block(self, call):
        """Return the :class:`RequestRefused` for a blocked call that waits, or None."""
        is_queued = call.run is not None and call.run.is_waiting
        if not is_queued and not call.awaits_admission:
            return None
        return find_block(call, self._view.blocked, self._read_clock())

    def record_beat(self, now):
        """Record that the timer has fired, which shows how late tasks are run."""
        self._gate.record_beat(now)
        self._link_budget.record_beat(now)
        if self._listener.is_paused and self._find_overload(now) is None:
            self._listener.resume()

    def _try_accept(self):
        now = self._read_clock()
        is_accepted = (
            self._link_budget.try_admit(now)
            and self._gate.has_room
            and self._make_connection_room()
        )
        if is_accepted:
            self._gate.admit()
        else:
            self._metrics.refusals.labels("connection").inc()
        overload = self._find_overload(now)
        if overload is not None:
            self._listener.pause()
            self._record_pause(overload, now)
        return is_accepted

    def _make_connection_room(self):
        """Return whether there are descriptors for another connection.

        If there are not, the one that has been idle for longest is closed.
        """
        count = self._listener.open_count - len(self._closed_for_others)
        if count < self._max_connections:
            return True
        for connection in self._waiting_connections:
            if connection.is_idle and connection not in self._closed_for_others:
                self._closed_for_others.add(connection)
                connection.shut_down()
                self._metrics.kept_closes.labels("descriptors").inc()
                return True
        return False

    def _find_overload(self, now):
        """Return what leaves no room for further connections, or None."""
        if not self._link_budget.has_room(now):
            return "link"
        return None if self._gate.has_room else "processor"

    def _record_pause(self, reason, now):
        self._metrics.accept_pauses.labels(reason).inc()
        if now - self._last_paused_at > OVERLOAD_LOG_PAUSE_S:
            fields = {"reason": reason}
            logger.warning("overloaded; refusing new connections", extra=fields)
        self._last_paused_at = now

    def _wait_until_ready(self):
        """Delay accepting until the fleet state is loaded, or until a timeout."""
        until = self._read_clock() + READY_TIMEOUT_S
        while not self._view.is_ready and self._read_clock() < until:
            eventlet.sleep(READY_POLL_INTERVAL_S)

    def _serve(self, sock):
        traffic = ConnectionTraffic(self._link_budget)
        connection = CallerConnection(
            sock, self._read_clock, WRITE_TIMEOUT_S, traffic.record, self._memory
        )
        try:
            while self._serve_one(connection, traffic):
                self._metrics.link_bytes.inc(traffic.finish_request())
        except MalformedMessage as error:
            self._metrics.refusals.labels("malformed").inc()
            fields = {"detail": str(error), "version": self._get_version()}
            logger.info("malformed request", extra=fields)
            connection.send_error(error.status)
        except MemoryExhausted as error:
            self._metrics.refusals.labels("memory").inc()
            logger.info("request not read", extra={"detail": str(error)})
            connection.send_error(NO_MEMORY_STATUS, NO_MEMORY_RETRY_AFTER_S)
        except TransportError as error:
            logger.debug("connection ended", extra={"detail": str(error)})
        finally:
            self._waiting_connections.pop(connection, None)
            connection.close()
            self._closed_for_others.discard(connection)
            self._metrics.link_bytes.inc(traffic.finish_request())

    def _serve_one(self, connection, traffic):
        self._waiting_connections[connection] = True
        if not wait_for_request(connection, self._get_limits, self._read_clock):
            return False
        limits = self._get_limits()
        request = connection.read_request(limits, limits.idle_timeout_s)
        self._waiting_connections.pop(connection, None)
        if connection.is_kept and not self._admit_on_kept_connection():
            connection.keep_alive = False
        resent_bytes = self.answer(request, connection, self._caller_source)
        traffic.record_resent(resent_bytes)
        # Keep-alive may have been announced before the shutdown, so that the caller has
        # sent another request.
        is_kept = connection.finish()
        return is_kept and (connection.has_input or not self.is_shutting_down)

    def _admit_on_kept_connection(self):
        """Count a request on a kept connection; return whether to keep it further."""
        overload = self._find_overload(self._read_clock())
        self._gate.admit()
        if overload is not None:
            self._metrics.kept_closes.labels(overload).inc()
        return overload is None

    def _get_limits(self):
        configuration = self._view.configuration
        return configuration.limits if configuration else CallerLimits()

    def answer(self, request, connection, source):
        """Write the response to a request from *source*, a :class:`RequestSource`.

        Return the bytes of the request that were sent to further upstreams. Raises
        :class:`TransportError`.
        """
        self.in_flight += 1
        try:
            return self._answer(request, connection, source)
        finally:
            self.in_flight -= 1

    def _answer(self, request, connection, source):
        call = None
        if self.is_shutting_down and not connection.has_read_ahead:
            connection.keep_alive = False
        try:
            call = source.admit(request, self._view)
            self._check_shutdown(call)
            with _Interrupter(call, connection, self._interrupters):
                self._forwarder.forward(call, connection)
            self._record_end(request, call, "answered")
        except CallerDisconnected as error:
            self._record_end(request, call, "caller left", detail=str(error))
            raise
        except RequestRefused as error:
            self._refuse(request, call, connection, error, source)
        except TransportError:
            raise
        except Exception:
            logger.exception("request failed", extra=_build_log_fields(request, call))
            outcome = Outcome.UNKNOWN
            error = RequestRefused(ErrorKind.INTERNAL, outcome=outcome)
            self._refuse(request, call, connection, error, source)
        return _count_resent_bytes(request, call)

    def _check_shutdown(self, call):
        if self._shutdown_at is None:
            return
        remaining_s = self._shutdown_at - self._read_clock()
        if call.route.timeout_s > remaining_s:
            retry_after_s = max(0.0, remaining_s) + RESTART_DURATION_S
            raise RequestRefused(ErrorKind.SHUTTING_DOWN, retry_after_s=retry_after_s)

    def _refuse(self, request, call, connection, error, source):
        if source.origin is None:
            self._metrics.refusals.labels(str(error.kind)).inc()
        remaining_s = call.get_remaining_s(self._read_clock()) if call else 1.0
        self._record_end(request, call, str(error.kind), error)
        if connection.response_started:
            # Closing the connection marks the partial response as incomplete.
            connection.keep_alive = False
            raise CallerDisconnected("response cut off after it had started")
        connection.send_response(
            *source.build_refusal(error, call, remaining_s, self._generator)
        )

    def _get_version(self):
        """Return the version of the configuration in force, None without one."""
        configuration = self._view.configuration
        return configuration.version if configuration else None

    def _record_end(self, request, call, outcome, error=None, detail=""):
        now = self._read_clock()
        seconds = now - request.received_at
        if call is None or call.relayed_from is None:
            self._metrics.requests.labels(outcome).inc()
            self._metrics.request_time.observe(seconds)
        fields = _build_log_fields(request, call)
        fields |= {
            "read_ms": _compute_elapsed_ms(request.received_at, request.completed_at),
            "outcome": outcome,
            "ms": round(seconds * 1000.0, 1),
        }
        if detail:
            fields["detail"] = detail
        if call is None:
            fields["version"] = self._get_version()
        if error is not None:
            fields |= {"detail": error.detail, "run": str(error.outcome)}
        logger.info("request ended", extra=fields)


def _count_resent_bytes(request, call):
    further_sends = max(0, call.send_count - 1) if call else 0
    return further_sends * len(request.body)


class _Interrupter:
    """Ends a call by raising an error in its green thread.

    This is :class:`CallerDisconnected` if the caller disconnects. While the call is in
    progress, the interrupter is in *interrupters*.
    """

    def __init__(self, call, connection, interrupters):
        self.call = call
        self._connection = connection
        self._interrupters = interrupters
        self._thread = eventlet.getcurrent()

    def __enter__(self):
        self._interrupters.add(self)
        self._connection.watch_disconnect(self._handle_disconnect)

    def __exit__(self, *exc_info):
        self._interrupters.discard(self)

    def interrupt(self, build_error):
        """Raise an error in the call, unless it ends before.

        *build_error* is called with the call just before, as the call may be sent in
        the meantime. If it returns None, the call goes on.
        """
        eventlet.hubs.get_hub().schedule_call_global(0, self._throw, build_error)

    def _handle_disconnect(self):
        self.interrupt(_build_disconnect_error)

    def _throw(self, build_error):
        if self not in self._interrupters:
            return
        error = build_error(self.call)
        if error is not None:
            self._thread.throw(error)


def _build_disconnect_error(call):
    return CallerDisconnected("caller closed its connection")


def _build_stop_error(call):
    """Return the :class:`RequestRefused` for a call that the process can't finish."""
    outcome = Outcome.UNKNOWN if call.may_have_run else Outcome.NOT_RUN
    detail = ", ".join([*call.reasons, "grace period ended"])
    return RequestRefused(
        ErrorKind.SHUTTING_DOWN, detail, outcome, retry_after_s=RESTART_DURATION_S
    )


def _build_log_fields(request, call):
    fields = {"target": request.target}
    if call is None:
        return fields
    return fields | {
        "request": call.headers.attempt_id,
        "fingerprint": call.fingerprint.hex(),
        "team": call.team.name if call.team else None,
        "route": call.route.name,
        "version": call.configuration.version,
        "upstream": call.upstream_id,
        "model": call.model,
        "sends": call.send_count,
        "events": call.events_sent,
        "first_event_ms": _compute_elapsed_ms(call.arrived_at, call.first_event_at),
        "longest_pause_ms": round(call.longest_pause_s * 1000.0, 1),
        "pause_ended_ms": _compute_elapsed_ms(
            call.arrived_at, call.longest_pause_ended_at
        ),
        "late": call.classify_delay(),
        "tokens_in": call.headers.tokens_in,
        "tokens_out": call.headers.tokens_out,
        "session": call.headers.session,
        "confidence": call.confidence,
        "slowdown": call.slowdown and round(call.slowdown, 2),
        "relayed_from": call.relayed_from,
        "relayed_by": call.relayed_by,
        "relay_age_ms": call.relay_age_s and round(call.relay_age_s * 1000.0, 1),
        "framing": call.framing,
        "unfinished_bytes": call.unfinished_bytes,
        "reasons": call.reasons,
    }


def _compute_elapsed_ms(start, end):
    return None if end is None else round((end - start) * 1000.0, 1)

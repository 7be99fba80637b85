"""Forwarding of a call with retries on other upstreams.

Part of the process on the platform, :mod:`merlinnotch._entry`. The OpenAI-compatible
front door has its own retries in :mod:`merlinnotch._upstreams.attempts`.
"""

import logging

from .._errors import (
    ConnectFailed,
    ConnectionBroken,
    ConnectionTimedOut,
    ErrorKind,
    MalformedMessage,
    MemoryExhausted,
    Outcome,
    RequestRefused,
    ResponseTooLong,
)
from .._http import Framing
from .._placement import PlacementRequest
from .attempt import MAX_BUFFERED_BYTES, NotRun
from .blocking import find_block
from .call import MIN_REMAINING_S
from .choice import UpstreamsUnreachable
from .larger_model import EscalationPolicy
from .read_limits import ReadLimitReached
from .refusals import is_false_promise
from .results import ResultRecorder
from .retry_reservation import RetryDenial
from .stream import StreamRelay
from .targets import choose_target
from .timeouts import compute_give_up_time

logger = logging.getLogger("merlinnotch")

OK = 200
SERVER_ERROR = 500
SHED_STATUS = 503
"""Status of an upstream that has no room for a request and did not run it."""
LONG_PROMPT_MS = 300.0
"""Prompts with a longer prefill are logged, as they delay the other streams of their
upstream."""


class Forwarder:
    """Sends a call to upstreams, evaluates the result and retries if allowed."""

    def __init__(self, parts):
        self._parts = parts
        self._read_clock = parts.read_clock
        self._results = ResultRecorder(parts)
        self._escalation_policy = EscalationPolicy(parts)

    def forward(self, call, connection):
        """Write the response to *call* to *connection*.

        Raises :class:`RequestRefused` if no complete response was delivered, and
        :class:`CallerDisconnected` if the caller disconnects.
        """
        if call.relayed_from is None:
            self._prepare(call)
        try:
            while not self._send_once(call, connection):
                pass
        finally:
            self._parts.retry_reserver.drop(call)

    def _prepare(self, call):
        """Set what the origin of a relayed call has already decided."""
        parts = self._parts
        call.last_event_id = call.headers.last_event
        choose_target(call, parts.chooser, parts.cascade)
        parts.admission_gate.admit(call)
        now = self._read_clock()
        parts.retry_budgets.get(call.service, now).record_first_attempt(now)
        if call.route.models and call.headers.model is None:
            call.model = self._escalation_policy.choose_first(call, now)

    def _send_once(self, call, connection):
        """Make one attempt and return whether the call is answered."""
        now = self._read_clock()
        try:
            choice = self._choose_upstream(call, now)
        except UpstreamsUnreachable as error:
            return self._relay_unreachable(call, connection, error)
        peer = self._find_better_peer(call, choice)
        if peer is not None:
            self._parts.permitted_chooser.give_back(choice)
            return self._relay(call, connection, peer)
        return self._send_to_upstream(call, connection, choice)

    def _find_better_peer(self, call, choice):
        """Return a peer if the chosen upstream is unreachable, otherwise None.

        That is so if others are reachable, but not of the version that *call* needs.
        """
        is_connected = choice.connection is not None
        if is_connected or self._parts.loads.get(choice.upstream).reachable:
            return None
        return self._parts.relayer.find_peer(call)

    def _relay_unreachable(self, call, connection, error):
        """Relay a call of which no upstream is reachable; raise *error* if none can."""
        peer = self._parts.relayer.find_peer(call)
        if peer is None:
            if call.may_have_run:
                raise self._build_exhausted_error(call, self._read_clock()) from error
            raise error
        now = self._read_clock()
        if call.send_count and not self._take_retry(call, now):
            call.reasons.append(str(RetryDenial.NO_BUDGET))
            raise self._build_exhausted_error(call, now) from error
        return self._relay(call, connection, peer)

    def _relay(self, call, connection, peer):
        try:
            return self._parts.relayer.send(call, connection, peer)
        except MemoryExhausted as error:
            self._parts.metrics.retries.labels("memory").inc()
            raise self._build_memory_error(call) from error
        except (ConnectionBroken, MalformedMessage) as error:
            self._parts.metrics.retries.labels("relay broken").inc()
            if not _is_retryable(call, error):
                now = self._read_clock()
                raise self._build_failure_error(call, now) from error
        return False

    def _send_to_upstream(self, call, connection, choice):
        upstream = choice.upstream
        placement_request = PlacementRequest(call.headers.prompt, call.model)
        load = self._parts.loads.get(upstream)
        load.in_flight += 1
        previous_sends = call.send_count
        was_rejected = False
        was_abandoned = True
        try:
            is_delivered = self._send_and_deliver(
                call, connection, choice, placement_request
            )
            was_abandoned = False
            return is_delivered
        except ConnectFailed as error:
            self._parts.crash_detector.runs.close(call.run)
            self._parts.prober.mark_unreachable(upstream, error)
            self._parts.ramp_up.record_unreachable(upstream, self._read_clock())
            call.tried_starts.add(upstream.start)
            # Nothing was sent, so a retry is still to be made.
            call.retry_reserved = call.send_count > 0
            self._record_failed_send(call, upstream, "unreachable", error)
        except NotRun as error:
            was_rejected = True
            was_abandoned = False
            self._record_rejection(call, upstream, error)
        except MemoryExhausted as error:
            call.tried_starts.add(upstream.start)
            self._record_failed_send(call, upstream, "memory", error)
            if not _may_be_endless(call):
                raise self._build_memory_error(call) from error
        except (ConnectionBroken, MalformedMessage) as error:
            now = self._read_clock()
            if not isinstance(error, ConnectionTimedOut):
                was_abandoned = False
                self._parts.crash_detector.record_connection_lost(call.run)
            self._parts.prober.mark_unreachable(upstream, error)
            if now < call.deadline:
                self._results.record_failed_attempt(call, upstream, error, now)
            call.tried_starts.add(upstream.start)
            self._record_failed_send(call, upstream, "broken", error)
            if not _is_retryable(call, error):
                raise self._build_failure_error(call, now) from error
        finally:
            load.in_flight -= 1
            if call.send_count == previous_sends:
                self._parts.permitted_chooser.give_back(choice)
            else:
                self._parts.permitted_chooser.finish(
                    choice, was_rejected, was_abandoned
                )
            # Has no effect on runs that were closed or lost their connection above.
            self._parts.crash_detector.record_abandoned(call.run)
        return False

    def _record_rejection(self, call, upstream, error):
        """Record that *upstream* did not run the call."""
        self._parts.crash_detector.runs.close(call.run)
        call.tried_starts.add(upstream.start)
        self._exclude_from_limit(call, upstream)
        if error.status == SHED_STATUS:
            call.was_shed = True
            self._parts.admission_gate.record_shed(call.service)
        self._parts.ramp_up.record_shed(upstream, self._read_clock())
        self._record_failed_send(call, upstream, error.reason, error)

    def _choose_upstream(self, call, now):
        """Return the :class:`Choice` for the next attempt.

        Raises :class:`RequestRefused` if no further attempt is allowed or possible.
        """
        if call.get_remaining_s(now) < MIN_REMAINING_S:
            raise self._build_failure_error(call, now)
        self._check_blocked(call, now)
        if call.sends_left <= 0:
            call.reasons.append(str(RetryDenial.ATTEMPT_LIMIT))
            raise self._build_exhausted_error(call, now)
        try:
            choice = self._parts.retry_reserver.take(call)
            choice = choice or self._parts.permitted_chooser.choose_upstream(call)
        except RequestRefused as error:
            call.reasons.append(str(error.kind))
            if isinstance(error, UpstreamsUnreachable):
                raise
            if call.may_have_run:
                raise self._build_exhausted_error(call, now) from error
            if error.kind is ErrorKind.NO_UPSTREAM:
                raise self._build_no_upstream(call, error.detail) from error
            raise
        self._recheck_blocked(call, choice)
        if call.send_count and not self._take_retry(call, now):
            self._parts.permitted_chooser.give_back(choice)
            call.reasons.append(str(RetryDenial.NO_BUDGET))
            raise self._build_exhausted_error(call, now)
        return choice

    def _check_blocked(self, call, now):
        """Raise :class:`RequestRefused` if the request is known to crash upstreams."""
        error = find_block(call, self._parts.view.blocked, now)
        if error is not None:
            raise error

    def _recheck_blocked(self, call, choice):
        """Check again after the choice, which may have waited for a permit."""
        try:
            self._check_blocked(call, self._read_clock())
        except RequestRefused:
            if choice.connection is not None:
                choice.connection.close()
            self._parts.permitted_chooser.give_back(choice)
            raise

    def _take_retry(self, call, now):
        if call.retry_reserved:
            call.retry_reserved = False
            return True
        return self._parts.retry_budgets.get(call.service, now).try_acquire(now)

    def _send_and_deliver(self, call, connection, choice, placement_request):
        """Send the call and deliver the response; return whether it was delivered.

        The give-up time limits the wait for the response head, so that another upstream
        can be tried before the call's deadline, which limits all attempts together.
        """
        parts = self._parts
        upstream = choice.upstream
        may_have_run_before = call.may_have_run
        now = self._read_clock()
        call.run = parts.crash_detector.runs.open(
            call.fingerprint, upstream.start, call.parts
        )
        if not call.route.retry_policy.is_streaming:
            # Without a stream nothing shows when the upstream starts the request.
            call.run.begun_at = now
        estimate = parts.placer.estimate(upstream, placement_request, now)
        give_up_at = compute_give_up_time(
            call, estimate.time_to_first_event_s, choice.alternative_count, now
        )
        if estimate.prefill_ms >= LONG_PROMPT_MS:
            _log_long_prompt(call, upstream, estimate)
        try:
            attempt = parts.attempt_sender.send(
                call, choice, placement_request, estimate, give_up_at
            )
        except (ConnectFailed, NotRun):
            call.may_have_run = may_have_run_before
            raise
        if call.model and attempt.head.status == OK:
            self._results.record_first_event(attempt, estimate)
        call.upstream_id = upstream.id
        call.framing = attempt.head.framing
        call.run.has_response = True
        call.run.record_read(self._read_clock())
        if call.run.begun_at is None:
            call.run.begun_at = self._read_clock()
        if call.route.retry_policy.is_streaming and attempt.head.status == OK:
            return self._relay_stream(call, connection, attempt)
        return self._deliver_buffered(call, connection, attempt)

    def _deliver_buffered(self, call, connection, attempt):
        """Read the complete response, then forward it or return False to retry."""
        if (attempt.head.length or 0) > MAX_BUFFERED_BYTES:
            attempt.connection.close()
            raise ConnectionBroken("response body exceeds the size limit")
        with self._parts.memory.hold(attempt.connection.make_room) as holding:
            return self._read_and_deliver(call, connection, attempt, holding)

    def _read_and_deliver(self, call, connection, attempt, holding):
        try:
            body = attempt.connection.read_body(
                call.deadline, MAX_BUFFERED_BYTES, holding.resize
            )
        except BaseException:
            attempt.connection.close()
            raise
        holding.settle(connection.end_response, connection.write_pace)
        self._parts.pool.release(attempt.upstream.start, attempt.connection)
        self._parts.crash_detector.record_answered(call.run)
        if attempt.response_info.encoded:
            raise ConnectionBroken("response body has a content encoding")
        failed = attempt.head.status >= SERVER_ERROR
        self._results.record_response(call, attempt, failed)
        if failed and self._reserve_retry(call, attempt.upstream):
            call.tried_starts.add(attempt.upstream.start)
            self._record_failed_send(
                call, attempt.upstream, "failed", f"status {attempt.head.status}"
            )
            return False
        self._check_promise(call, attempt)
        connection.send_response(
            attempt.head.status, self._parts.select_forwarded_fields(attempt.head), body
        )
        return True

    def _check_promise(self, call, attempt):
        """Raise :class:`RequestRefused` for a status that wrongly means "not run".

        An upstream that didn't run a request says so in a field, which the response
        of *attempt* lacks. Callers would take the status for it and send the request
        again.
        """
        status = attempt.head.status
        if not is_false_promise(call, status):
            return
        self._record_failed_send(call, attempt.upstream, "failed", f"status {status}")
        raise self._build_failure_error(call, self._read_clock())

    def _relay_stream(self, call, connection, attempt):
        """Relay the stream, or return False to escalate to a larger model."""
        larger_model = self._escalation_policy.choose(call, attempt)
        if larger_model is not None:
            attempt.connection.close()
            self._results.record_response(call, attempt, failed=False)
            fields = _build_log_fields(call, attempt.upstream) | {
                "next_model": larger_model
            }
            fields |= {"confidence": call.confidence, "slowdown": call.slowdown}
            logger.info("escalating to larger model", extra=fields)
            call.model = larger_model
            call.reasons.append("larger model")
            return False
        relay = StreamRelay(
            call,
            connection,
            self._parts.select_forwarded_fields,
            self._read_clock,
            self._record_gap,
            self._parts.reader,
            self._parts.memory,
        )
        relay.run(attempt)
        self._parts.crash_detector.record_answered(call.run)
        self._parts.pool.release(attempt.upstream.start, attempt.connection)
        self._parts.stream_lengths.record(call.route.name, call.events_sent)
        self._results.record_response(call, attempt, failed=False)
        return True

    def _record_gap(self, call, attempt, gap_s):
        self._results.record_gap(call, attempt, gap_s)
        self._parts.crash_detector.record_read(call.run)

    def _reserve_retry(self, call, upstream):
        """Return whether another attempt has been reserved in place of a response."""
        if not call.is_retryable:
            return False
        if call.get_remaining_s(self._read_clock()) <= MIN_REMAINING_S:
            return False
        denial = self._parts.retry_reserver.try_reserve(call, upstream.start)
        return denial is None

    def _exclude_from_limit(self, call, upstream):
        # A request that was not run doesn't count towards the route's limit.
        call.sent_starts.discard(upstream.start)

    def _record_failed_send(self, call, upstream, reason, detail):
        """Log a failed attempt and count it in ``metrics.retries``.

        It is counted even if no retry follows.
        """
        call.reasons.append(reason)
        self._parts.metrics.retries.labels(reason).inc()
        fields = _build_log_fields(call, upstream) | {
            "reason": reason,
            "detail": str(detail),
        }
        now = self._read_clock()
        if isinstance(detail, ReadLimitReached):
            fields["limit"] = str(detail.kind)
            self._parts.metrics.read_limits.labels(str(detail.kind)).inc()
        if call.last_event_at is not None:
            fields["last_event_ms"] = round((now - call.last_event_at) * 1000.0, 1)
        begun_at = call.run.begun_at
        if begun_at is not None:
            fields["begun_ms"] = round((now - begun_at) * 1000.0, 1)
        logger.info("upstream request failed", extra=fields)

    def _build_exhausted_error(self, call, now):
        if call.may_have_run:
            return self._build_failure_error(call, now)
        return self._build_no_upstream(call, ", ".join(call.reasons))

    def _build_no_upstream(self, call, detail):
        """Return the refusal of a call that no upstream has run.

        If upstreams shed it, its caller returns when there is room for it.
        """
        return_s = None
        if call.was_shed:
            return_s = self._parts.admission_gate.book_return_s(call)
        return RequestRefused(
            ErrorKind.NO_UPSTREAM,
            detail,
            retry_after_s=return_s,
            is_delay_fixed=return_s is not None,
        )

    def _build_memory_error(self, call):
        """Return the refusal of a call whose response found no memory here.

        Other callers hold it, so that nothing is held against the upstream, and another
        attempt would only take from the retry budget.
        """
        return RequestRefused(
            ErrorKind.OVERLOADED, ", ".join(call.reasons), Outcome.UNKNOWN
        )

    def _build_failure_error(self, call, now):
        is_expired = call.get_remaining_s(now) < MIN_REMAINING_S
        kind = ErrorKind.DEADLINE_EXCEEDED if is_expired else ErrorKind.UPSTREAM_FAILED
        outcome = Outcome.UNKNOWN if call.may_have_run else Outcome.NOT_RUN
        return RequestRefused(kind, ", ".join(call.reasons), outcome)


def _is_retryable(call, error):
    """Return whether another attempt may follow one that failed with *error*."""
    is_worthless = isinstance(error, ResponseTooLong) and call.events_sent > 0
    return call.is_retryable and not is_worthless


def _may_be_endless(call):
    """Return whether the response of a retryable call may go on for ever.

    Another upstream can answer the call then.
    """
    return call.is_retryable and call.framing is not Framing.LENGTH


def _log_long_prompt(call, upstream, estimate):
    fields = _build_log_fields(call, upstream)
    fields["reading_ms"] = round(estimate.prefill_ms)
    fields["queued_ms"] = round(estimate.queued_prefill_ms)
    logger.info("long prompt sent", extra=fields)


def _build_log_fields(call, upstream):
    return {
        "request": call.headers.attempt_id,
        "fingerprint": call.fingerprint.hex(),
        "route": call.route.name,
        "upstream": upstream.id,
        "model": call.model,
        "send": call.send_count,
    }

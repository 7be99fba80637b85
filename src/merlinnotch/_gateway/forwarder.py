"""Carrying one call to an answer, over as many sends as it may have."""

import logging

from .._errors import (
    ConnectFailed,
    ConnectionBroken,
    ConnectionSilent,
    ErrorKind,
    MalformedMessage,
    Outcome,
    RequestRefused,
)
from .._placement import Work
from .attempt import NotRun
from .larger import LargerChooser
from .patience import limit_wait
from .results import ResultNoter
from .stream import StreamRelay

logger = logging.getLogger("merlinnotch")

MAX_BUFFERED_BYTES = 16 << 20
"""Answers that are not streams are read whole before they are passed on, so
that one that breaks off never looks whole; plain answers hold some 100 KB."""
OK = 200
SERVER_ERROR = 500
LONG_READING_MS = 300.0
"""Prompts that take longer to read hold up the other streams of an engine; a line
for each tells afterwards which one it was. They are one in twenty of all sends."""
MIN_LEFT_S = 0.02
"""With less time left an upstream can't answer any more."""


class Forwarder:
    """Sends a call, judges what came of it and sends it again where allowed."""

    def __init__(self, parts):
        self._parts = parts
        self._read_clock = parts.read_clock
        self._results = ResultNoter(parts)
        self._larger = LargerChooser(parts)

    def forward(self, call, connection):
        """Deliver the answer on *connection*.

        Raises :class:`RequestRefused` where nothing was delivered and
        :class:`CallerLeft` when the caller is gone.
        """
        parts = self._parts
        call.service = parts.chooser.choose_service(call)
        call.last_event = call.headers.last_event
        call.model = call.headers.model
        if call.route.models and call.model is None:
            call.model = parts.cascade.choose_first(call.route)
        parts.budgets.get(call.service).note_first_attempt(self._read_clock())
        while not self._try_once(call, connection):
            pass

    def _try_once(self, call, connection):
        """Make one send; return whether the call is answered."""
        now = self._read_clock()
        choice = self._choose(call, now)
        upstream = choice.upstream
        work = Work(call.headers.prompt, call.model)
        load = self._parts.loads.get(upstream)
        load.in_flight += 1
        try:
            return self._run(call, connection, choice, work)
        except ConnectFailed as error:
            self._parts.crashes.runs.close(call.run)
            self._parts.prober.suspect(upstream)
            call.tried.add(upstream.start)
            self._note_retry(call, upstream, "unreachable", error)
        except NotRun as error:
            self._parts.crashes.runs.close(call.run)
            call.tried.add(upstream.start)
            self._settle_not_run(call, upstream)
            self._note_retry(call, upstream, "not run", error)
        except (ConnectionBroken, MalformedMessage) as error:
            now = self._read_clock()
            if not isinstance(error, ConnectionSilent):
                self._parts.crashes.note_broken(call.run)
            self._parts.prober.suspect(upstream)
            if now < call.deadline:
                self._results.note_broken(call, upstream, now)
            call.tried.add(upstream.start)
            self._note_retry(call, upstream, "broken", error)
            if not call.may_run_again:
                raise self._refuse_unknown(call, now) from error
        finally:
            load.in_flight -= 1
            self._parts.crashes.note_left(call.run)
        return False

    def _choose(self, call, now):
        """Return the :class:`Choice` for the next send.

        Raises :class:`RequestRefused` where there is none.
        """
        if call.measure_left(now) < MIN_LEFT_S:
            raise self._refuse_unknown(call, now)
        self._check_blocked(call, now)
        if len(call.sent_to) >= call.route.max_upstreams:
            raise self._refuse_exhausted(call, now)
        try:
            choice = self._parts.chooser.choose_upstream(call, now)
        except RequestRefused as error:
            if call.may_have_run:
                raise self._refuse_exhausted(call, now) from error
            raise
        if call.sends and not self._pay(call, now):
            call.reasons.append("no retry budget")
            raise self._refuse_exhausted(call, now)
        return choice

    def _check_blocked(self, call, now):
        """Refuse a request that crashes upstreams, whoever asks for it again.

        Each further send would end one more upstream, and with it the requests of
        everybody else there.
        """
        blocked = self._parts.view.blocked
        left_s = blocked.measure_left(call.fingerprint, now) if blocked else 0.0
        if left_s > 0.0:
            outcome = Outcome.UNKNOWN if call.may_have_run else Outcome.NOT_RUN
            raise RequestRefused(
                ErrorKind.REQUEST_BLOCKED, ", ".join(call.reasons), outcome, left_s
            )

    def _pay(self, call, now):
        if call.paid_ahead:
            call.paid_ahead = False
            return True
        return self._parts.budgets.get(call.service).take(now)

    def _run(self, call, connection, choice, work):
        parts = self._parts
        upstream = choice.upstream
        ran_before = call.may_have_run
        now = self._read_clock()
        call.run = parts.crashes.runs.open(call.fingerprint, upstream.start)
        if not call.route.repeat.streams:
            # A plain upstream says nothing before its whole answer.
            call.run.begun_at = now
        estimate = parts.placer.estimate(upstream, work, now)
        until = limit_wait(call, estimate.wait_s, choice.others, now)
        if estimate.reading_ms >= LONG_READING_MS:
            _log_long_prompt(call, upstream, estimate)
        try:
            attempt = parts.attempts.make(call, upstream, work, estimate, until)
        except (ConnectFailed, NotRun):
            call.may_have_run = ran_before
            raise
        call.upstream_id = upstream.id
        if call.run.begun_at is None:
            call.run.begun_at = self._read_clock()
        if call.route.repeat.streams and attempt.head.status == OK:
            return self._relay(call, connection, attempt)
        return self._deliver(call, connection, attempt)

    def _deliver(self, call, connection, attempt):
        """Read the whole answer, then pass it on or try again."""
        try:
            body = attempt.connection.read_body(call.deadline, MAX_BUFFERED_BYTES)
        except BaseException:
            attempt.connection.close()
            raise
        self._parts.pool.give_back(attempt.upstream.start, attempt.connection)
        self._parts.crashes.note_answered(call.run)
        if attempt.note.encoded:
            raise ConnectionBroken("the body is encoded")
        failed = attempt.head.status >= SERVER_ERROR
        self._results.note_answer(call, attempt, failed)
        if failed and self._can_try_again(call):
            call.tried.add(attempt.upstream.start)
            self._note_retry(
                call, attempt.upstream, "failed", f"status {attempt.head.status}"
            )
            return False
        connection.answer(attempt.head.status, self._parts.pass_on(attempt.head), body)
        return True

    def _relay(self, call, connection, attempt):
        """Pass a stream on, or ask a larger model instead of it."""
        larger = self._larger.choose(call, attempt)
        if larger is not None:
            attempt.connection.close()
            self._results.note_answer(call, attempt, failed=False)
            fields = _describe(call, attempt.upstream) | {"next_model": larger}
            fields |= {"confidence": call.confidence, "slowdown": call.slowdown}
            logger.info("larger model asked", extra=fields)
            call.model = larger
            call.reasons.append("larger model")
            return False
        relay = StreamRelay(
            call,
            connection,
            self._parts.pass_on,
            self._read_clock,
            self._results.note_gap,
            self._parts.paths,
        )
        relay.run(attempt)
        self._parts.crashes.note_answered(call.run)
        self._parts.pool.give_back(attempt.upstream.start, attempt.connection)
        self._parts.lengths.note(call.route.name, call.events_sent)
        self._results.note_answer(call, attempt, failed=False)
        return True

    def _can_try_again(self, call):
        return (
            call.may_run_again
            and len(call.sent_to) < call.route.max_upstreams
            and call.measure_left(self._read_clock()) > MIN_LEFT_S
        )

    def _settle_not_run(self, call, upstream):
        # Asked before it was sent anywhere, it does not count as sent.
        call.sent_to.discard(upstream.start)

    def _note_retry(self, call, upstream, reason, detail):
        call.reasons.append(reason)
        self._parts.metrics.retries.labels(reason).inc()
        fields = _describe(call, upstream) | {"reason": reason, "detail": str(detail)}
        begun_at = call.run.begun_at
        if begun_at is not None:
            fields["begun_ms"] = round((self._read_clock() - begun_at) * 1000.0, 1)
        logger.info("send failed", extra=fields)

    def _refuse_exhausted(self, call, now):
        if call.may_have_run:
            return self._refuse_unknown(call, now)
        return RequestRefused(ErrorKind.NO_UPSTREAM, ", ".join(call.reasons))

    def _refuse_unknown(self, call, now):
        late = call.measure_left(now) < MIN_LEFT_S
        kind = ErrorKind.DEADLINE_EXCEEDED if late else ErrorKind.UPSTREAM_FAILED
        outcome = Outcome.UNKNOWN if call.may_have_run else Outcome.NOT_RUN
        return RequestRefused(kind, ", ".join(call.reasons), outcome)


def _log_long_prompt(call, upstream, estimate):
    fields = _describe(call, upstream)
    fields["reading_ms"] = round(estimate.reading_ms)
    fields["queued_ms"] = round(estimate.queued_ms)
    logger.info("long prompt sent", extra=fields)


def _describe(call, upstream):
    return {
        "request": call.headers.attempt_id,
        "fingerprint": call.fingerprint.hex(),
        "route": call.route.name,
        "upstream": upstream.id,
        "model": call.model,
        "send": call.sends,
    }

"""Sending a call to one upstream and reading the response head."""

from dataclasses import dataclass

from .._errors import ConnectionBroken, TransportError
from .._fleet import Upstream
from .._placement import Feature, choose_urgency
from ..platform import (
    MISDIRECTED_STATUS,
    decode_notice,
    decode_response,
    encode_request,
    was_not_executed,
)
from .reachability import compute_check_interval_s
from .read_limits import LimitKind, ReadLimit

CONNECT_TIMEOUT_S = 0.25
"""Short, because trying another upstream costs less than waiting."""
MAX_BUFFERED_BYTES = 16 << 20
"""Limit for responses that are not streams. They are read completely before they are
forwarded, so that the caller never gets a truncated one. They usually have some
100 KB."""

SUCCESS_STATUSES = range(200, 300)


class NotRun(TransportError):
    """The upstream reported that it did not run the request.

    *reason* is logged and counted as the reason for the failed attempt. *status* is the
    status of the response.
    """

    reason = "not run"

    def __init__(self, detail, status):
        super().__init__(detail)
        self.status = status


class UpstreamResting(NotRun):
    """The upstream did not run the request and asked for a rest."""

    reason = "resting"


@dataclass
class Attempt:
    """An exchange with an upstream whose response head has arrived.

    *response_info* holds the decoded header fields of the response. *started_at* is on
    the boot clock; *head_latency_s* is the time from then to the response head.
    *event_count* is the number of events relayed to the caller, between
    *first_relayed_at* and *last_relayed_at*. *is_counted* is set once the attempt is in
    the statistics of its version.
    """

    upstream: Upstream
    connection: object
    head: object
    response_info: object
    started_at: float
    head_latency_s: float
    event_count: int = 0
    first_relayed_at: float = 0.0
    last_relayed_at: float = 0.0
    is_counted: bool = False


class AttemptSender:
    """Sends a call to an upstream and reads the response head.

    *load_exchange* reports the prompts sent and the load of upstreams to the other
    instances. *reader* is a :class:`ResponseReader`, *notice_recorder* a
    :class:`NoticeRecorder`, *permits* a :class:`Permits`, *slots* a
    :class:`SlotExchange`, *work_times* a :class:`WorkTimes`, *load_policy* a
    :class:`LoadPolicy`, *totals* a :class:`FleetTotals`, *matcher* a
    :class:`ResponseMatcher`.
    """

    def __init__(
        self,
        pool,
        loads,
        prefill_rates,
        read_clock,
        load_exchange,
        reader,
        notice_recorder,
        permits,
        slots,
        work_times,
        load_policy,
        totals,
        matcher,
    ):
        self._pool = pool
        self._loads = loads
        self._prefill_rates = prefill_rates
        self._read_clock = read_clock
        self._load_exchange = load_exchange
        self._reader = reader
        self._notice_recorder = notice_recorder
        self._permits = permits
        self._slots = slots
        self._work_times = work_times
        self._load_policy = load_policy
        self._totals = totals
        self._matcher = matcher

    def send(self, call, choice, placement_request, estimate, until):
        """Return the :class:`Attempt` of sending *call* to the upstream of *choice*.

        *estimate* is the expected work there. *until* is the time on the boot clock at
        which waiting for the response head ends.

        Raises :class:`ConnectFailed` or :class:`NotRun` if the request has not run, and
        :class:`ConnectionBroken` if it may have run.
        """
        upstream = choice.upstream
        load = self._loads.get(upstream)
        connection = choice.connection or self._pool.acquire(
            upstream.start, upstream.address, CONNECT_TIMEOUT_S
        )
        started_at = self._read_clock()
        call.send_count += 1
        if call.send_count > 1:
            self._totals.record_retry(upstream.service, started_at)
        call.sent_starts.add(upstream.start)
        if placement_request.model:
            load.cache.record(placement_request.prefixes)
            load.backlog.record(estimate.prefill_ms, started_at)
            self._load_exchange.report_prompt(upstream, estimate.prefill_ms)
        call.may_have_run = True
        try:
            urgency = None
            if placement_request.model:
                rank = None
                if self._load_policy.is_on(
                    Feature.ADMISSION, upstream.service, started_at
                ):
                    rank = call.rank
                urgency = choose_urgency(estimate.prefill_ms, upstream.slots, rank)
            head = self._exchange(call, upstream, connection, until, urgency)
            attempt = self._process_head(call, choice, connection, head, started_at)
        except NotRun:
            # The connection may be in the pool again.
            raise
        except BaseException:
            connection.close()
            raise
        if placement_request.model and estimate.uncached_tokens:
            self._prefill_rates.record(
                placement_request.model,
                estimate.uncached_tokens,
                attempt.head_latency_s,
            )
        return attempt

    def _exchange(self, call, upstream, connection, until, urgency):
        now = self._read_clock()
        pairs = encode_request(
            call.header_pairs,
            upstream.id,
            call.team.name if call.team else None,
            call.deadline - now,
            call.model if call.route.models else None,
            call.last_event_id,
            urgency,
        )
        request = call.request
        connection.send_request(
            request.method, request.target, pairs, request.body, until
        )
        return self._reader.read(
            call,
            upstream,
            self._matcher.make_reader(call, upstream, connection).read,
            compute_check_interval_s(call.route.goal_s),
            ReadLimit(until, LimitKind.RESPONSE_HEAD),
        )

    def _process_head(self, call, choice, connection, head, started_at):
        now = self._read_clock()
        upstream = choice.upstream
        notice = self._record_notice(call, choice, head, started_at, now)
        load = self._loads.get(upstream)
        load.contacted_at = now
        response_info = decode_response(head.fields)
        if response_info.running is not None:
            load.record_report(response_info.running, response_info.waiting, now)
            self._record_pace(upstream, response_info.pace, now)
            if call.model:
                self._load_exchange.report_load(
                    upstream, response_info.running, response_info.waiting
                )
        if was_not_executed(head.status, head.fields):
            if response_info.attempt_id is None:
                # On a kept connection, the next refusal might be a copy of this one.
                connection.close()
            else:
                self._drain_and_release(upstream, connection, now)
            if notice.rest_s > 0.0:
                raise UpstreamResting(
                    f"status {head.status}, {notice.rest_s:g} s of rest", head.status
                )
            raise NotRun(f"status {head.status}", head.status)
        if head.status in SUCCESS_STATUSES and not response_info.sealed:
            raise ConnectionBroken("successful response lacks the upstream's seal")
        return Attempt(
            upstream, connection, head, response_info, started_at, now - started_at
        )

    def _record_pace(self, upstream, pace, now):
        if pace is not None:
            self._work_times.record_pace(upstream, pace, now)
            self._load_policy.record_pace(upstream.service, now)

    def _record_notice(self, call, choice, head, started_at, now):
        """Record and return the notice of a response, before others may raise.

        A refusal may lack the attempt's id.
        """
        notice = decode_notice(head.status, head.fields)
        upstream = choice.upstream
        self._notice_recorder.record(upstream.start, upstream.id, notice, now)
        # Another upstream at the same address answers so.
        if head.status == MISDIRECTED_STATUS:
            return notice
        if notice.attempt_id is not None:
            self._slots.record_response(
                upstream.start, notice.is_brittle, started_at, now
            )
        was_run = not was_not_executed(head.status, head.fields)
        self._permits.record_response(
            upstream,
            notice.limit_per_s,
            was_run,
            started_at,
            now,
            choice.permit,
        )
        return notice

    def _drain_and_release(self, upstream, connection, now):
        """Read the body of a refusal so that the connection can be reused."""
        try:
            connection.read_body(now + CONNECT_TIMEOUT_S, 65536)
        except ConnectionBroken:
            connection.close()
        else:
            self._pool.release(upstream.start, connection)

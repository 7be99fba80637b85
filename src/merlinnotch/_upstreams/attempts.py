"""Attempts to run a request: upstream selection, claims and retries.

Part of the OpenAI-compatible front door, :mod:`merlinnotch._daemon`. The process on the
platform has its own retries in :mod:`merlinnotch._gateway.forwarder`.
"""

import dataclasses
import time
import uuid

from .._errors import ErrorKind, MerlinnotchError, Outcome, RequestRefused
from .._ledger import Claim, RecordStatus, Release
from .._rate_limits import NO_PERMIT_NEEDED
from .admission import AdmissionRequest
from .failure import FailureReason

CLAIM_TIMEOUT_S = 2.0
RELEASE_TIMEOUT_S = 1.0
MAX_ROUNDS = 2
"""Number of times that every upstream of a pool may be tried for one request.

Upstreams that are then resting are not tried again.
"""

OVERLOAD_REASONS = (FailureReason.OVERLOADED, FailureReason.RESTING)
"""Reasons that lower the limit of the upstream."""

MAX_BROKEN_ATTEMPTS = 3
"""Number of attempts with a broken connection after which a request is not retried, as
one that crashes the upstreams it runs on would otherwise crash the whole pool."""


class Attempts:
    """The attempts to run one request.

    A request that is not idempotent is not retried once an upstream may have run it.
    Every other retry takes a token of the retry budget, which it holds until it is
    sent, also while connections to upstreams can't be opened. A retry that is never
    sent returns its token.
    """

    def __init__(self, state, call):
        self._state = state
        self._call = call
        self._claimed = False
        self._attempt_id = uuid.uuid4().hex
        self._sent_before = False
        self._remaining_rounds = MAX_ROUNDS - 1
        self._failed_ids = set()
        self._broken_count = 0
        self._holds_retry = False
        self._failed_ids_by_version = {}
        self._request = None
        state.budget.record_first_attempt()

    def acquire(self, pool, version, weight, priority, affinity_key, expected_s):
        """Return an upstream for the next attempt, after claiming the request.

        Only a request that has an idempotency key and is not idempotent is claimed, and
        only once.

        *expected_s* is the expected duration of the attempt. Raises
        :class:`RequestRefused` or :class:`ClaimNotGranted`. The caller has to release
        the upstream.
        """
        call = self._call
        self._sent_before = call.may_have_been_sent
        request = AdmissionRequest(
            team=call.team.name,
            weight=weight,
            priority=priority,
            pool=pool,
            version=version,
            affinity_key=affinity_key,
            exclude=frozenset(self._failed_ids),
            start_deadline=call.deadline - expected_s,
        )
        self._request = request
        try:
            return self._acquire_claimed(request)
        except BaseException:
            self._return_retry()
            raise

    def may_retry(self, upstream, now):
        """Return whether another attempt can follow one that *upstream* may have run.

        Nothing is reserved: each attempt under way would otherwise keep a token from
        those that need it. Other calls may therefore use up the budget or the
        upstreams before this attempt is given up.
        """
        if not self._call.idempotent or not self._state.budget.can_acquire():
            return False
        tried_ids = self._failed_ids | {upstream.listed.id}
        if self._can_start(tried_ids, now):
            return True
        return self._starts_round(tried_ids, now) and self._can_start(
            {upstream.listed.id}, now
        )

    def record_success(self, upstream):
        """Record that an attempt returned a complete answer."""
        self._holds_retry = False
        upstream.record_success()

    def record_failure(self, upstream, failure, version_id=None):
        """Record a failed attempt; return normally if it may be retried.

        Raises :class:`RequestRefused` otherwise.
        """
        now = time.monotonic()
        traits = failure.traits
        if failure.reason is FailureReason.CONNECT:
            self._return_permit()
        else:
            self._holds_retry = False
        self._failed_ids.add(upstream.listed.id)
        if failure.reason is FailureReason.BROKEN:
            self._broken_count += 1
        if traits.counts_against_upstream:
            upstream.record_failure(now, traits.unreachable)
        if failure.reason is FailureReason.LEAVING:
            self._state.notices.report_leaving(upstream, now)
        if failure.reason in OVERLOAD_REASONS:
            upstream.limit.record_overload()
        if traits.counts_against_version and version_id:
            self._failed_ids_by_version.setdefault(version_id, set()).add(
                upstream.listed.id
            )
        if not traits.may_have_run:
            self._call.may_have_been_sent = self._sent_before
        try:
            self._check_retry(failure)
        except RequestRefused:
            self._return_retry()
            raise

    def is_version_bad(self, version_id, pool):
        """Return whether a version failed at two upstreams, or at its only one.

        A failure at one of several upstreams may be the fault of that upstream.
        """
        failed_ids = self._failed_ids_by_version.get(version_id, set())
        now = time.monotonic()
        others = self._state.upstream_table.list_staying(
            pool, version_id, now, exclude=failed_ids
        )
        return len(failed_ids) >= 2 or (bool(failed_ids) and not others)

    def release_claim(self):
        """Release the claim if no upstream can have run the request under it.

        Waits up to ``RELEASE_TIMEOUT_S`` for the ledger, so that a caller who gets
        the outcome "not run" can retry at once.
        """
        if not self._claimed or self._call.may_have_been_sent:
            return
        self._claimed = False
        release = Release(self._call.key, self._attempt_id, time.time())
        result = self._state.ledger.record(release, RELEASE_TIMEOUT_S)
        if result is None:
            self._state.outbox.add_release(release)

    def _can_start(self, excluded_ids, now):
        request = dataclasses.replace(self._request, exclude=frozenset(excluded_ids))
        return self._state.admission.can_start(request, now)

    def _starts_round(self, tried_ids, now):
        """Return whether the next attempt starts a round, after *tried_ids*."""
        if not self._remaining_rounds:
            return False
        request = self._request
        return not self._state.upstream_table.find(
            request.pool, request.version, now, tried_ids
        )

    def _acquire_claimed(self, request):
        upstream = self._acquire_upstream(request)
        try:
            self._claim()
        except BaseException:
            self._state.admission.release(upstream)
            raise
        return self._replace_unaccepting(upstream, request)

    def _replace_unaccepting(self, upstream, request):
        """Return *upstream*, or another one if it accepts no work any more.

        Its notice may have arrived during the claim or on the way from the queue, or
        its limit leaves no request. A replacement can have the same only after a wait
        in the queue, which ends at the start deadline.
        """
        while not self._acquire_permit(upstream):
            self._state.admission.release(upstream)
            exclude = frozenset(self._failed_ids)
            upstream = self._acquire_upstream(
                dataclasses.replace(request, exclude=exclude)
            )
        return upstream

    def _acquire_permit(self, upstream):
        """Return whether *upstream* accepts work and the call got its permit."""
        if not upstream.accepts_work(time.monotonic()):
            return False
        try:
            permit = self._state.permits.acquire(upstream, is_urgent=False)
        except BaseException:
            self._state.admission.release(upstream)
            raise
        if permit is None:
            return False
        self._call.permit = permit
        # The upstream may have left while the permit was asked for.
        if upstream.accepts_work(time.monotonic()):
            return True
        self._return_permit()
        return False

    def _return_permit(self):
        """Return the permit of an attempt that was not sent."""
        self._state.permits.give_back(self._call.permit)
        self._call.permit = NO_PERMIT_NEEDED

    def _acquire_upstream(self, request):
        try:
            return self._acquire_in_rounds(request)
        except RequestRefused as refusal:
            if self._sent_before:
                refusal.outcome = Outcome.UNKNOWN
            raise

    def _acquire_in_rounds(self, request):
        try:
            return self._state.admission.acquire(request)
        except RequestRefused as refusal:
            tried_all = refusal.kind is ErrorKind.NO_UPSTREAM and self._failed_ids
            if not (tried_all and self._remaining_rounds):
                raise
        self._remaining_rounds -= 1
        self._failed_ids.clear()
        return self._state.admission.acquire(
            dataclasses.replace(request, exclude=frozenset())
        )

    def _claim(self):
        call = self._call
        if self._claimed or call.idempotent or not call.has_idempotency_key:
            return
        claim = Claim(
            call.key,
            self._attempt_id,
            self._state.settings.instance,
            call.digest,
            time.time(),
        )
        timeout_s = min(CLAIM_TIMEOUT_S, call.time_left_s)
        with self._state.metrics.claim_seconds.time():
            result = self._state.ledger.record(claim, timeout_s)
        if result is None:
            # The ledger may still record the claim later.
            self._state.outbox.add_release(
                Release(call.key, self._attempt_id, time.time())
            )
            raise RequestRefused(ErrorKind.LEDGER_UNAVAILABLE, outcome=Outcome.UNKNOWN)
        if result.status is not RecordStatus.GRANTED:
            raise ClaimNotGranted(result)
        self._claimed = call.claimed = True

    def _check_retry(self, failure):
        call = self._call
        traits = failure.traits
        reason = failure.reason.value
        if call.may_have_been_sent and not call.idempotent:
            self._state.metrics.retries_denied.labels("not_idempotent").inc()
            raise RequestRefused(ErrorKind.OUTCOME_UNKNOWN, outcome=Outcome.UNKNOWN)
        outcome = Outcome.UNKNOWN if call.may_have_been_sent else Outcome.NOT_RUN
        if failure.reason is FailureReason.REJECTED:
            raise RequestRefused(ErrorKind.BAD_REQUEST, str(failure), outcome)
        if self._broken_count >= MAX_BROKEN_ATTEMPTS:
            self._state.metrics.retries_denied.labels("broken").inc()
            raise RequestRefused(traits.kind, outcome=outcome)
        if call.time_left_s <= 0:
            self._state.metrics.retries_denied.labels("deadline").inc()
            raise RequestRefused(ErrorKind.DEADLINE_EXCEEDED, outcome=outcome)
        if not self._acquire_retry(failure):
            self._state.metrics.retries_denied.labels("budget").inc()
            self._check_resting(failure, outcome)
            raise RequestRefused(traits.kind, outcome=outcome)
        self._state.metrics.retries.labels(reason).inc()

    def _acquire_retry(self, failure):
        """Return whether the budget allows a retry after *failure*.

        Without a connection nothing was sent, so that the attempt is still to be made.
        """
        if failure.reason is FailureReason.CONNECT:
            return True
        self._holds_retry = self._state.budget.try_acquire()
        return self._holds_retry

    def _return_retry(self):
        """Return the token of a retry that was not sent to the budget."""
        if self._holds_retry:
            self._holds_retry = False
            self._state.budget.release()

    def _check_resting(self, failure, outcome):
        """Raise :class:`RequestRefused` if all upstreams rest since *failure*."""
        if failure.reason is not FailureReason.RESTING:
            return
        now = time.monotonic()
        rest_s = self._state.admission.get_rest_s(self._request, now)
        if rest_s > 0.0:
            raise RequestRefused(
                ErrorKind.UPSTREAMS_RESTING, outcome=outcome, retry_after_s=rest_s
            )


class ClaimNotGranted(MerlinnotchError):
    """The ledger did not grant the claim; *result* is its reply."""

    def __init__(self, result):
        super().__init__(result.status.name)
        self.result = result

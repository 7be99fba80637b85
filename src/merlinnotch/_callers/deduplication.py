"""Deduplication of requests across instances."""

import contextlib

from .._errors import ErrorKind, Outcome, RequestRefused
from .._ledger import RecordStatus
from .._links.link import PeerUnreachable
from .._peers import AnswerReply, FetchAnswer
from .._upstreams.attempts import ClaimNotGranted
from .answer_cache import CompleteAnswer

QUERY_TIMEOUT_S = 1.0
FETCH_GRACE_S = 0.5


class RunHandle:
    """A run of a request that is registered in the answer cache.

    *answer* is set when the run has ended, and cached when the handle is closed.
    *answered_elsewhere* is true if the answer is that of another attempt.
    """

    def __init__(self, answer_cache, key):
        self._answer_cache = answer_cache
        self._key = key
        self._detached = False
        self.answer = None
        self.answered_elsewhere = False

    def detach(self):
        """Keep the run registered after its caller has disconnected."""
        self._detached = True

    def close_unless_detached(self):
        """End the run, unless it was detached."""
        if not self._detached:
            self._answer_cache.end_run(self._key, self.answer)

    def close(self, answer):
        """End the run, detached or not, and cache *answer* if it is not None."""
        self._answer_cache.end_run(self._key, answer)


class Deduplicator:
    """Finds the answers of earlier runs of requests with an idempotency key."""

    def __init__(self, state):
        self._state = state
        state.peers.handlers[FetchAnswer] = self._handle_fetch

    def find(self, call):
        """Return the answer of an earlier run, or None if *call* has to run here.

        Raises :class:`RequestRefused` if the key belongs to a different request.
        """
        if not call.has_idempotency_key:
            return None
        if not call.idempotent:
            return self._fetch_local(call)
        reply = self._state.ledger.register_run(call.key, call.digest)
        if reply.different:
            raise RequestRefused(ErrorKind.KEY_REUSED)
        if reply.holder == self._state.settings.instance:
            return self._fetch_local(call)
        answer = self._fetch_from(reply.holder, call)
        if answer is None:
            self._state.ledger.register_run(call.key, call.digest, replace=True)
        return answer

    @contextlib.contextmanager
    def run(self, call):
        """Register a run in the answer cache; yield its :class:`RunHandle`.

        If another attempt holds the claim, the handle gets its answer, or
        :class:`RequestRefused` is raised with what is known of it. The outcome of any
        other refusal is corrected to cover all attempts.
        """
        handle = RunHandle(self._state.answer_cache, call.key)
        self._state.answer_cache.register_run(call.key)
        try:
            yield handle
        except ClaimNotGranted as lost:
            handle.answer = self._resolve_lost_claim(call, lost.result)
            handle.answered_elsewhere = True
        except RequestRefused as refusal:
            self._correct_outcome(call, refusal)
            raise
        finally:
            handle.close_unless_detached()

    def _fetch_local(self, call):
        answer = self._state.answer_cache.fetch(call.key, call.time_left_s)
        if answer is not None:
            self._state.metrics.joined_requests.inc()
        return answer

    def _fetch_from(self, instance, call):
        member = self._state.membership.get(instance)
        if member is None:
            return None
        wait_s = call.time_left_s
        try:
            reply = self._state.peers.request(
                member.address, FetchAnswer(call.key, wait_s), wait_s + FETCH_GRACE_S
            )
        except PeerUnreachable:
            return None
        if not reply.found:
            return None
        self._state.metrics.joined_requests.inc()
        return CompleteAnswer.decode(reply.answer)

    def _resolve_lost_claim(self, call, result):
        if result.status is RecordStatus.DIFFERENT:
            raise RequestRefused(ErrorKind.KEY_REUSED)
        answer = None
        if result.holder and result.holder != self._state.settings.instance:
            answer = self._fetch_from(result.holder, call)
        if answer is not None:
            return answer
        if result.status is RecordStatus.ANSWERED:
            raise RequestRefused(ErrorKind.RESPONSE_EXPIRED, outcome=Outcome.ANSWERED)
        raise RequestRefused(ErrorKind.OUTCOME_UNKNOWN, outcome=Outcome.UNKNOWN)

    def _correct_outcome(self, call, refusal):
        """Keep the outcome "not run" only if no attempt can have run the request.

        A request with an idempotency key may have run on another instance.
        """
        if refusal.outcome is not Outcome.NOT_RUN:
            return
        if call.may_have_been_sent:
            refusal.outcome = Outcome.UNKNOWN
            return
        if (
            not call.has_idempotency_key
            or call.claimed
            or refusal.kind is ErrorKind.KEY_REUSED
        ):
            return
        if call.idempotent:
            refusal.outcome = Outcome.UNKNOWN
            return
        wait_s = min(QUERY_TIMEOUT_S, call.time_left_s)
        if not self._state.ledger.is_unclaimed(call.key, wait_s):
            refusal.outcome = Outcome.UNKNOWN

    def _handle_fetch(self, request):
        answer = self._state.answer_cache.fetch(request.key, request.wait_s)
        if answer is None:
            return AnswerReply(False, b"")
        return AnswerReply(True, answer.encode())

"""Answers to requests for plain services."""

import time

from .._errors import ErrorKind, MemoryExhausted, Outcome, RequestRefused
from .._ledger import Bill
from .._upstreams.attempts import Attempts
from .._upstreams.failure import AttemptFailed
from .answer_cache import CompleteAnswer

MICROS_PER_COST_UNIT = 1_000_000
DEFAULT_PRIORITY = 5


class ServiceHandler:
    """Answers calls for plain services, with deduplication."""

    def __init__(self, state, deduplicator):
        self._state = state
        self._deduplicator = deduplicator

    def answer(self, call):
        """Return the :class:`CompleteAnswer` to a :class:`ServiceCall`.

        Raises :class:`RequestRefused`.
        """
        earlier_answer = self._deduplicator.find(call)
        if earlier_answer is not None:
            return earlier_answer
        with self._deduplicator.run(call) as handle:
            handle.answer = self._run(call)
        return handle.answer

    def _run(self, call):
        attempts = Attempts(self._state, call)
        try:
            while True:
                upstream = attempts.acquire(
                    call.service.pool, None, call.team.weight, DEFAULT_PRIORITY, "", 0.0
                )
                try:
                    answer = self._call_upstream(upstream, call)
                except AttemptFailed as failure:
                    attempts.record_failure(upstream, failure)
                    continue
                finally:
                    self._state.admission.release(upstream)
                attempts.record_success(upstream)
                self._record_bill(call)
                return answer
        finally:
            attempts.release_claim()

    def _call_upstream(self, upstream, call):
        try:
            response, data = self._state.client.call_service(upstream, call)
        except MemoryExhausted as error:
            # Other callers hold the memory, so that it isn't the upstream's failure.
            raise RequestRefused(
                ErrorKind.UPSTREAM_FAILED,
                "There is no memory for the response at the moment.",
                Outcome.UNKNOWN,
            ) from error
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return CompleteAnswer(response.status, content_type, call.service.name, data)

    def _record_bill(self, call):
        cost = round(call.service.cost_per_call * MICROS_PER_COST_UNIT)
        bill = Bill(call.key, call.team.name, call.service.name, 0, cost, time.time())
        self._state.outbox.add_bill(bill)

"""Runs of requests for chat completions."""

import functools
import time
from dataclasses import dataclass

from .._config import Version
from .._errors import RequestRefused
from .._ledger import Bill
from .._peers import Tally
from .._routing import Planner, VersionPicker
from .._upstreams.attempts import Attempts
from .._upstreams.failure import AttemptFailed, FailureReason
from .completion import CompletionBuilder, get_text

MICROS_PER_COST_UNIT = 1_000_000
TOKENS_PER_COST_UNIT = 1000


@dataclass(frozen=True)
class ReadyAnswer:
    """A complete answer that a later stage of its cascade should replace."""

    version: Version
    builder: CompletionBuilder


class ChatRun:
    """One run of a request for a chat completion.

    Once :meth:`events` is exhausted, :attr:`completion`, :attr:`version` and
    :attr:`usage_event` are set and the request is billed.
    """

    def __init__(self, state, call, generator):
        self._state = state
        self._call = call
        self._generator = generator
        self._attempts = Attempts(state, call)
        self._cost_micros = 0
        self._builder = None
        self._ready = None
        self.version = None
        self.completion = None
        self.usage_event = None

    def plan(self):
        """Choose the versions to run.

        Raises :class:`RequestRefused` if no version may run the request.
        """
        state, call = self._state, self._call
        tracker = state.configurer.tracker
        is_fresh = tracker.is_fresh(time.monotonic())
        picker = VersionPicker(
            tracker.catalogue,
            state.guardian.quarantined,
            state.guardian.tallies_by_version,
            is_fresh,
        )
        # Escalation would run the request a second time.
        allow_cascades = call.idempotent and state.rating_client.can_rate
        planner = Planner(
            tracker.catalogue, picker, state.quality_estimator, allow_cascades
        )
        salt = call.session.id if call.session else call.request_id
        plan = planner.plan(
            call.team,
            call.kind,
            call.session,
            salt,
            call.time_left_s,
            self._generator.random(),
        )
        self._plan = plan
        self.version = plan.stages[0]

    def events(self):
        """Yield the events of the answer, then bill it.

        The events of a cascade's first stage are buffered until the answer is rated.
        Its answer is delivered as well if the later stage fails before that stage's
        first event is delivered. A call that isn't streamed gets no events before the
        end, so that its later stage may fail at any time.

        Raises :class:`RequestRefused`; the events until then are an incomplete answer.
        """
        try:
            yield from self._run_stages()
            self._finish()
        finally:
            self._attempts.release_claim()

    def _run_stages(self):
        is_under_way = False
        try:
            for event in self._run_until_target():
                is_under_way = True
                yield event
        except RequestRefused:
            is_delivered = is_under_way and self._call.stream
            if self._ready is None or is_delivered:
                raise
            yield from self._restore_ready()

    def _run_until_target(self):
        """Yield the events of the first answer that meets the target, or the last."""
        for stage in self._plan.stages[:-1]:
            if self._run_stage(stage):
                yield from self._builder.events
                return
        self._builder = CompletionBuilder()
        yield from self._run_version(self._plan.stages[-1])

    def _restore_ready(self):
        """Return the events of the ready answer, which becomes that of this run."""
        self.version = self._ready.version
        self._builder = self._ready.builder
        return self._builder.events

    def _run_stage(self, version):
        """Run one stage of a cascade; return whether its answer meets the target."""
        self._builder = CompletionBuilder()
        for _ in self._run_version(version):
            pass
        completion = self._builder.build()
        score = self._state.rating_client.rate(
            self._call, version, get_text(completion)
        )
        if score is not None and score >= self._call.kind.quality_target:
            return True
        self._ready = ReadyAnswer(version, self._builder)
        return False

    def _run_version(self, version):
        """Yield the events of one version's answer, resuming it after failures."""
        self.version = version
        started = time.monotonic()
        while True:
            upstream = self._acquire(version)
            try:
                yield from self._stream(upstream, version)
                if self._builder.is_empty():
                    raise AttemptFailed(FailureReason.EMPTY)
            except AttemptFailed as failure:
                self._handle_failure(upstream, failure, version)
                continue
            finally:
                self._state.admission.release(upstream)
            self._record_success(upstream, version, time.monotonic() - started)
            self._add_cost(version)
            return

    def _stream(self, upstream, version):
        builder = self._builder
        may_retry = functools.partial(self._attempts.may_retry, upstream)
        events = self._state.client.stream(
            upstream, self._call, version, builder.position, may_retry
        )
        for event in events:
            if builder.add(event):
                yield event

    def _acquire(self, version):
        call = self._call
        model = self._state.configurer.tracker.catalogue.models[version.model]
        duration_s = self._state.quality_estimator.get_duration_s(
            version.id, call.kind.name
        )
        return self._attempts.acquire(
            model.pool,
            version.id,
            call.team.weight,
            call.kind.priority,
            call.affinity_key,
            # Capped, so that the mean duration does not rule out a late retry.
            min(duration_s, call.time_left_s / 2),
        )

    def _handle_failure(self, upstream, failure, version):
        if failure.reason is FailureReason.EMPTY:
            self._builder = CompletionBuilder()
        try:
            self._attempts.record_failure(upstream, failure, version.id)
        except RequestRefused:
            self._count_version_error(version)
            raise
        self._count_version_error(version)

    def _count_version_error(self, version):
        model = self._state.configurer.tracker.catalogue.models[version.model]
        if self._attempts.is_version_bad(version.id, model.pool):
            self._state.tallies.count(version.id, self._call.kind.name, Tally(errors=1))

    def _record_success(self, upstream, version, duration_s):
        kind = self._call.kind.name
        self._attempts.record_success(upstream)
        self._state.upstream_table.record_duration(duration_s)
        self._state.tallies.count(version.id, kind, Tally(answers=1))
        self._state.quality_estimator.record_answer(
            version.id, kind, duration_s, self._builder.tokens
        )

    def _finish(self):
        """Bill the answer and submit it for rating, unless it was rated already.

        Returns once a peer has a copy of the bill.
        """
        self.usage_event = self._builder.usage_event
        self.completion = self._builder.build()
        call = self._call
        self._state.outbox.add_bill(
            Bill(
                call.key,
                call.team.name,
                self.version.id,
                self._builder.tokens,
                self._cost_micros,
                time.time(),
            )
        )
        if not self._plan.is_cascade or self.version != self._plan.stages[0]:
            text = get_text(self.completion)
            self._state.rating_client.submit(call, self.version, text)

    def _add_cost(self, version):
        """Add the cost of a complete answer, whether or not it is delivered."""
        model = self._state.configurer.tracker.catalogue.models[version.model]
        cost = model.cost_per_1k_tokens * self._builder.tokens / TOKENS_PER_COST_UNIT
        self._cost_micros += round(cost * MICROS_PER_COST_UNIT)

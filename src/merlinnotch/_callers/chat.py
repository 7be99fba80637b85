"""Answering requests for models."""

import json
import time

import eventlet

from .._errors import MerlinnotchError, RequestRefused
from .._ledger import Bill
from .._peers import Tally
from .._routing import Planner, VersionPicker
from .._upstreams.attempts import Attempts
from .._upstreams.failure import AttemptFailed, FailureReason
from .board import KeptAnswer
from .completion import CompletionBuilder, get_text, split_into_events

MICROS = 1_000_000
TOKENS_PER_PRICE = 1000
JSON_TYPE = "application/json"


class ChatRun:
    """One run of one request for a model.

    :meth:`events` yields the answer as it comes; when it has ended,
    :attr:`completion`, :attr:`version` and :attr:`tokens` are set and the
    request is billed.
    """

    def __init__(self, state, call, generator):
        self._state = state
        self._call = call
        self._generator = generator
        self._attempts = Attempts(state, call)
        self._cost_micros = 0
        self._builder = None
        self.version = None
        self.completion = None
        self.usage_event = None

    def plan(self):
        """Choose versions; raises :class:`RequestRefused` when none may run."""
        state, call = self._state, self._call
        tracker = state.configurer.tracker
        fresh = tracker.is_fresh(time.monotonic())
        picker = VersionPicker(
            tracker.catalogue,
            state.guardian.quarantined,
            state.guardian.by_version,
            fresh,
        )
        # A request that may not run twice may not be judged and run anew.
        cascades = call.idempotent and state.raters.can_judge
        planner = Planner(tracker.catalogue, picker, state.book, cascades)
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

        Events of a cascade's first stage are held until the answer is judged.
        Raises :class:`RequestRefused`; what was yielded before is no answer.
        """
        try:
            for stage in self._plan.stages[:-1]:
                if self._run_stage(stage):
                    yield from self._builder.events
                    self._finish()
                    return
            self._builder = CompletionBuilder()
            yield from self._run_version(self._plan.stages[-1])
            self._finish()
        finally:
            self._attempts.give_back()

    def _run_stage(self, version):
        """Run a stage whole; return whether its answer is good enough."""
        self._builder = CompletionBuilder()
        for _ in self._run_version(version):
            pass
        completion = self._builder.build()
        score = self._state.raters.judge(self._call, version, get_text(completion))
        if score is not None and score >= self._call.kind.quality_target:
            return True
        self._charge(version)
        return False

    def _run_version(self, version):
        """Yield the events of one version's answer, over retries."""
        self.version = version
        started = time.monotonic()
        while True:
            upstream = self._acquire(version)
            try:
                yield from self._stream(upstream, version)
                if self._builder.is_empty():
                    raise AttemptFailed(FailureReason.EMPTY)
            except AttemptFailed as failure:
                self._take_failure(upstream, failure, version)
                continue
            finally:
                self._state.admission.release(upstream)
            self._take_success(upstream, version, time.monotonic() - started)
            return

    def _stream(self, upstream, version):
        builder = self._builder
        events = self._state.client.stream(
            upstream, self._call, version, builder.position
        )
        for event in events:
            if builder.add(event):
                yield event

    def _acquire(self, version):
        call = self._call
        model = self._state.configurer.tracker.catalogue.models[version.model]
        duration_s = self._state.book.get_duration_s(version.id, call.kind.name)
        return self._attempts.acquire(
            model.pool,
            version.id,
            call.team.weight,
            call.kind.priority,
            call.affinity_key,
            # Late in a request the usual time says nothing any more.
            min(duration_s, call.time_left_s / 2),
        )

    def _take_failure(self, upstream, failure, version):
        if failure.reason is FailureReason.EMPTY:
            self._builder = CompletionBuilder()
        try:
            self._attempts.note_failure(upstream, failure, version.id)
        except RequestRefused:
            self._count_bad_version(version)
            raise
        self._count_bad_version(version)

    def _count_bad_version(self, version):
        model = self._state.configurer.tracker.catalogue.models[version.model]
        if self._attempts.confirms_bad_version(version.id, model.pool):
            self._state.tallies.count(version.id, self._call.kind.name, Tally(errors=1))

    def _take_success(self, upstream, version, duration_s):
        kind = self._call.kind.name
        self._attempts.note_success(upstream)
        self._state.table.note_duration(duration_s)
        self._state.tallies.count(version.id, kind, Tally(answers=1))
        self._state.book.note_answer(version.id, kind, duration_s, self._builder.tokens)

    def _finish(self):
        """Bill the answer; a peer has a copy of the bill once this returns."""
        self._charge(self.version)
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
            self._state.raters.submit(call, self.version, text)

    def _charge(self, version):
        model = self._state.configurer.tracker.catalogue.models[version.model]
        cost = model.cost_per_1k_tokens * self._builder.tokens / TOKENS_PER_PRICE
        self._cost_micros += round(cost * MICROS)


class ChatStream:
    """Events on their way to a caller, and the version that gives them."""

    def __init__(self, events, run=None, kept=None):
        self.events = events
        self._run = run
        self._kept = kept

    @property
    def version_id(self):
        """The version, known once the first event has come."""
        return self._kept.version if self._kept else self._run.version.id


class ChatAnswerer:
    """Answers calls for models, each request once."""

    def __init__(self, state, generator, dedup):
        self._state = state
        self._generator = generator
        self._dedup = dedup

    def answer(self, call):
        """Return the :class:`KeptAnswer` to a call."""
        kept = self._dedup.find(call)
        if kept is not None:
            return kept
        run = ChatRun(self._state, call, self._generator)
        with self._dedup.run(call) as slot:
            run.plan()
            for _ in run.events():
                pass
            slot.answer = _keep(run)
        return slot.answer

    def answer_stream(self, call):
        """Return a :class:`ChatStream` of the answer to a call.

        Nothing has been promised to the caller before its first event, so a
        refusal until then is an ordinary one.
        """
        kept = self._dedup.find(call)
        if kept is not None:
            return ChatStream(_replay(kept, call.include_usage), kept=kept)
        run = ChatRun(self._state, call, self._generator)
        return ChatStream(self._stream(call, run), run=run)

    def _stream(self, call, run):
        with self._dedup.run(call) as slot:
            run.plan()
            events = run.events()
            try:
                yield from events
            except GeneratorExit:
                self._leave_to_itself(call, run, events, slot)
                raise
            slot.answer = _keep(run)
            if call.include_usage and run.usage_event:
                yield run.usage_event
        if slot.joined:
            yield from _replay(slot.answer, call.include_usage)

    def _leave_to_itself(self, call, run, events, slot):
        """The caller is gone: cancel, unless the request may not run again."""
        if call.idempotent or not call.sent:
            events.close()
            return
        slot.detach()
        eventlet.spawn(self._drain, run, events, slot)

    def _drain(self, run, events, slot):
        answer = None
        try:
            for _ in events:
                pass
            answer = _keep(run)
        except MerlinnotchError:
            return
        finally:
            slot.close(answer)


def _keep(run):
    body = json.dumps(run.completion).encode()
    return KeptAnswer(200, JSON_TYPE, run.version.id, body)


def _replay(kept, include_usage):
    completion = json.loads(kept.body)
    yield from split_into_events(completion)
    if include_usage and completion["usage"]:
        head = {key: completion[key] for key in ("id", "created", "model")}
        head |= {"object": "chat.completion.chunk", "choices": []}
        row = {**head, "usage": completion["usage"]}
        yield b"data: " + json.dumps(row).encode()

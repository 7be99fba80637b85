"""Answers to requests for chat completions."""

import json

import eventlet

from .._errors import MerlinnotchError
from .answer_cache import CompleteAnswer
from .chat_run import ChatRun
from .completion import split_into_events

JSON_TYPE = "application/json"


class ChatStream:
    """The events of an answer, from a run or from the cache."""

    def __init__(self, events, run=None, cached=None):
        self.events = events
        self._run = run
        self._cached = cached

    @property
    def version_id(self):
        """The id of the version that answers, known from the first event on."""
        return self._cached.version if self._cached else self._run.version.id


class ChatHandler:
    """Answers requests for chat completions, with deduplication."""

    def __init__(self, state, generator, deduplicator):
        self._state = state
        self._generator = generator
        self._deduplicator = deduplicator

    def answer(self, call):
        """Return the :class:`CompleteAnswer` to a call.

        Raises :class:`RequestRefused`.
        """
        cached = self._deduplicator.find(call)
        if cached is not None:
            return cached
        run = ChatRun(self._state, call, self._generator)
        with self._deduplicator.run(call) as handle:
            run.plan()
            for _ in run.events():
                pass
            handle.answer = _build_answer(run)
        return handle.answer

    def answer_stream(self, call):
        """Return the :class:`ChatStream` of the answer to a call.

        The request runs when the events are iterated. If the first event raises
        :class:`RequestRefused`, the response has not been started yet.
        """
        cached = self._deduplicator.find(call)
        if cached is not None:
            return ChatStream(_replay_events(cached, call.include_usage), cached=cached)
        run = ChatRun(self._state, call, self._generator)
        return ChatStream(self._stream(call, run), run=run)

    def _stream(self, call, run):
        with self._deduplicator.run(call) as handle:
            run.plan()
            events = run.events()
            try:
                yield from events
            except GeneratorExit:
                self._handle_disconnect(call, run, events, handle)
                raise
            handle.answer = _build_answer(run)
            if call.include_usage and run.usage_event:
                yield run.usage_event
        if handle.answered_elsewhere:
            yield from _replay_events(handle.answer, call.include_usage)

    def _handle_disconnect(self, call, run, events, handle):
        """Cancel the run, or finish it detached if the request can't be repeated."""
        if call.idempotent or not call.may_have_been_sent:
            events.close()
            return
        handle.detach()
        eventlet.spawn(self._run_detached, run, events, handle)

    def _run_detached(self, run, events, handle):
        answer = None
        try:
            for _ in events:
                pass
            answer = _build_answer(run)
        except MerlinnotchError:
            return
        finally:
            handle.close(answer)


def _build_answer(run):
    body = json.dumps(run.completion).encode()
    return CompleteAnswer(200, JSON_TYPE, run.version.id, body)


def _replay_events(cached, include_usage):
    completion = json.loads(cached.body)
    yield from split_into_events(completion)
    if include_usage and completion["usage"]:
        common = {key: completion[key] for key in ("id", "created", "model")}
        common |= {"object": "chat.completion.chunk", "choices": []}
        usage_chunk = {**common, "usage": completion["usage"]}
        yield b"data: " + json.dumps(usage_chunk).encode()

"""A cache of answers for callers that repeat a request."""

import time
from collections import OrderedDict
from dataclasses import dataclass

import cbor2
import eventlet
from eventlet.event import Event

MAX_CACHE_BYTES = 8 << 20
ANSWER_TTL_S = 300.0
ENTRY_OVERHEAD_BYTES = 300


@dataclass(frozen=True)
class CompleteAnswer:
    """An answer in the form that a caller gets without streaming.

    *version* is a version id, or the name of a plain service.
    """

    status: int
    content_type: str
    version: str
    body: bytes

    def encode(self):
        """Return the answer as bytes for a peer."""
        return cbor2.dumps([self.status, self.content_type, self.version, self.body])

    @classmethod
    def decode(cls, data):
        """Return the answer that :meth:`encode` turned into *data*."""
        return cls(*cbor2.loads(data))


class AnswerCache:
    """The requests that run on this instance, and a cache of recent answers.

    The cache is limited to ``MAX_CACHE_BYTES``, and to ``ANSWER_TTL_S`` in age; the
    oldest answers are evicted first, whenever one is added.
    """

    def __init__(self):
        self._run_events = {}
        self._answers = OrderedDict()
        self._size_bytes = 0

    def register_run(self, key):
        """Record that the request with *key* runs on this instance."""
        self._run_events[key] = Event()

    def end_run(self, key, answer=None):
        """End the run of *key*, cache *answer* if given, and wake waiting callers."""
        event = self._run_events.pop(key, None)
        if answer is not None:
            self._store(key, answer)
        if event is not None:
            event.send(answer)

    def is_running(self, key):
        """Return whether the request with *key* runs on this instance."""
        return key in self._run_events

    def fetch(self, key, wait_s):
        """Return the answer to *key*, or None.

        Waits up to *wait_s* if the request still runs.
        """
        event = self._run_events.get(key)
        if event is not None:
            with eventlet.Timeout(wait_s, False):
                return event.wait()
            return None
        entry = self._answers.get(key)
        return entry[1] if entry else None

    def _store(self, key, answer):
        if key in self._answers:
            return
        now = time.monotonic()
        self._answers[key] = (now, answer)
        self._size_bytes += len(answer.body) + ENTRY_OVERHEAD_BYTES
        while self._answers:
            oldest_key, (stored_at, oldest_answer) = next(iter(self._answers.items()))
            if self._size_bytes <= MAX_CACHE_BYTES and now - stored_at <= ANSWER_TTL_S:
                return
            del self._answers[oldest_key]
            self._size_bytes -= len(oldest_answer.body) + ENTRY_OVERHEAD_BYTES

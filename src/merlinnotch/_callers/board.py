"""Answers kept for callers that ask again."""

import time
from collections import OrderedDict
from dataclasses import dataclass

import cbor2
import eventlet
from eventlet.event import Event

MAX_KEPT_BYTES = 8 << 20
KEEP_S = 300.0
ENTRY_BYTES = 300


@dataclass(frozen=True)
class KeptAnswer:
    """A whole answer, in the form that a caller gets without streaming."""

    status: int
    content_type: str
    version: str
    body: bytes

    def encode(self):
        """Return the bytes that travel between instances."""
        return cbor2.dumps([self.status, self.content_type, self.version, self.body])

    @classmethod
    def decode(cls, data):
        """Return the answer in *data*."""
        return cls(*cbor2.loads(data))


class AnswerBoard:
    """Runs under way, and answers of late, bounded in bytes and age.

    The oldest answers go first at the bound; a caller that asks for one of
    those is told that it is no longer kept.
    """

    def __init__(self):
        self._running = {}
        self._kept = OrderedDict()
        self._bytes = 0

    def open(self, key):
        """Note that *key* runs here."""
        self._running[key] = Event()

    def close(self, key, answer=None):
        """Note that *key* runs no more; keep *answer* if there is one."""
        event = self._running.pop(key, None)
        if answer is not None:
            self._keep(key, answer)
        if event is not None:
            event.send(answer)

    def is_running(self, key):
        """Return whether *key* runs here."""
        return key in self._running

    def fetch(self, key, wait_s):
        """Return the answer to *key*, waiting for a run under way, or None."""
        event = self._running.get(key)
        if event is not None:
            with eventlet.Timeout(wait_s, False):
                return event.wait()
            return None
        kept = self._kept.get(key)
        return kept[1] if kept else None

    def _keep(self, key, answer):
        if key in self._kept:
            return
        now = time.monotonic()
        self._kept[key] = (now, answer)
        self._bytes += len(answer.body) + ENTRY_BYTES
        while self._kept:
            oldest, (at, old) = next(iter(self._kept.items()))
            if self._bytes <= MAX_KEPT_BYTES and now - at <= KEEP_S:
                return
            del self._kept[oldest]
            self._bytes -= len(old.body) + ENTRY_BYTES

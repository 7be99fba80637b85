"""Who runs which idempotent request."""

from collections import OrderedDict
from dataclasses import dataclass

MAX_RUNS = 100_000
RUN_RETENTION_S = 120.0


@dataclass(frozen=True)
class Run:
    """*holder* has been running, or has run, a request since *at*."""

    holder: str
    digest: bytes
    at: float


class RunRegistry:
    """The runs of the buckets that this instance owns, bounded in size and age.

    It saves work and keeps answers alike; nothing rests on it for safety, so
    it may be lost or stand twice.
    """

    def __init__(self):
        self._runs = OrderedDict()

    def begin(self, key, digest, holder, now):
        """Return the :class:`Run` in force: the known one, or a new one."""
        self._expire(now)
        run = self._runs.get(key)
        if run is None:
            run = self._runs[key] = Run(holder, digest, now)
        return run

    def replace(self, key, digest, holder, now):
        """Put *holder* in place of one whose answer is gone; return its run."""
        self._runs.pop(key, None)
        run = self._runs[key] = Run(holder, digest, now)
        return run

    def _expire(self, now):
        while self._runs:
            key, run = next(iter(self._runs.items()))
            if len(self._runs) < MAX_RUNS and now - run.at < RUN_RETENTION_S:
                return
            del self._runs[key]

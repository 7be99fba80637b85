"""The instances that run idempotent requests."""

from collections import OrderedDict
from dataclasses import dataclass

MAX_RUNS = 100_000
RUN_RETENTION_S = 120.0


@dataclass(frozen=True)
class Run:
    """A run of a request by instance *holder*, in progress or finished.

    *digest* is a hash of the request's content, *started_at* the monotonic time in
    seconds at which the run began.
    """

    holder: str
    digest: bytes
    started_at: float


class RunRegistry:
    """Runs in the buckets that this instance owns, limited in number and age.

    Lets later attempts at a request use the answer of its first run. Correctness does
    not depend on it, so its content may be lost, or differ between instances.
    """

    def __init__(self):
        self._runs = OrderedDict()

    def register(self, key, digest, holder, now):
        """Return the known :class:`Run` of *key*, or record and return a new one.

        *now* is in monotonic seconds.
        """
        self._expire(now)
        run = self._runs.get(key)
        if run is None:
            run = self._runs[key] = Run(holder, digest, now)
        return run

    def replace(self, key, digest, holder, now):
        """Record and return a new run by *holder* in place of the known one.

        For a request whose known holder no longer has the answer.
        """
        self._runs.pop(key, None)
        run = self._runs[key] = Run(holder, digest, now)
        return run

    def _expire(self, now):
        while self._runs:
            key, run = next(iter(self._runs.items()))
            if len(self._runs) < MAX_RUNS and now - run.started_at < RUN_RETENTION_S:
                return
            del self._runs[key]

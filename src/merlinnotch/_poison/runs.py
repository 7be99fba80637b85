"""Registry of the requests that are running on each upstream."""

from dataclasses import dataclass

from .._fleet import UpstreamStart
from .attribution import CRASH_WINDOW_S

MAX_CRASH_DELAY_S = 1.0
"""A run that was abandoned or disconnected at most this long before its upstream ended
still counts as lost: an upstream doesn't end at the moment of the fault."""
RUN_RETENTION_S = 5.0
"""How long a run is kept after it was abandoned or disconnected. The end of an upstream
is detected at once if it refuses connections, otherwise when its entry expires."""


@dataclass(eq=False)
class Run:
    """An attempt at a request on one upstream. Times are on the boot clock.

    *parts* are the fingerprints of the prompt parts that other requests may contain.
    *begun_at* is when the response head arrived, or None before that; without a stream
    it is when the request was sent. *abandoned_at* is when this instance abandoned the
    run. *disconnected_at* is when the upstream closed the connection. *has_response* is
    set once the response head arrived, *last_read_at* is when data last arrived after
    it. *has_survived* is set once the upstream is known to have survived the run.
    """

    fingerprint: bytes
    start: UpstreamStart
    parts: tuple[bytes, ...] = ()
    begun_at: float | None = None
    abandoned_at: float | None = None
    disconnected_at: float | None = None
    has_response: bool = False
    last_read_at: float | None = None
    has_survived: bool = False

    @property
    def finished_at(self):
        """When the run was abandoned or disconnected, or None while in progress."""
        return (
            self.abandoned_at if self.disconnected_at is None else self.disconnected_at
        )

    @property
    def is_waiting(self):
        """Whether the request was sent and nothing of a response has arrived."""
        return self.finished_at is None and not self.has_response

    def record_read(self, now):
        """Record that data arrived; return whether this shows that the run survived.

        An upstream that crashes on a request does so as the run begins. Data that was
        received much later than sent, as after a suspension of this process, proves
        nothing, so the time since the previous read is limited too.
        """
        last_read_at, self.last_read_at = self.last_read_at, now
        if self.has_survived or self.begun_at is None or last_read_at is None:
            return False
        return (
            now - self.begun_at > CRASH_WINDOW_S
            and now - last_read_at <= CRASH_WINDOW_S
        )


@dataclass(frozen=True)
class Loss:
    """A request that was on an upstream when the upstream ended.

    *run_time_s* is how long the request had run, or None if that isn't known. *parts*
    are those of the :class:`Run`.
    """

    fingerprint: bytes
    start: UpstreamStart
    run_time_s: float | None
    parts: tuple[bytes, ...] = ()


class RunTable:
    """The runs of one instance by the start of their upstream."""

    def __init__(self):
        self._runs = {}

    def open(self, fingerprint, start, parts=()):
        """Return the :class:`Run` of a request that is being sent."""
        run = Run(fingerprint, start, parts)
        self._runs.setdefault(start, set()).add(run)
        return run

    def close(self, run):
        """Drop a run that was answered or never began."""
        runs = self._runs.get(run.start, set())
        runs.discard(run)
        if not runs:
            self._runs.pop(run.start, None)

    def drop_old(self, now):
        """Drop the runs that were over too long ago to count as lost."""
        for run in [run for runs in self._runs.values() for run in runs]:
            if run.finished_at is not None and now - run.finished_at > RUN_RETENTION_S:
                self.close(run)

    def has_open_runs(self, start):
        """Return whether a request still has its connection to an upstream."""
        return any(run.finished_at is None for run in self._runs.get(start, ()))

    def pop_losses(self, start, seen_at):
        """Remove and return as :class:`Loss` the runs on an upstream that has ended.

        *seen_at* is when the end was seen, a moment after it at most, or None if it may
        have been seconds earlier. Runs that were over long before the end are removed
        but not returned.
        """
        runs = self._runs.pop(start, ())
        disconnect_times = [
            run.disconnected_at for run in runs if run.disconnected_at is not None
        ]
        ended_at = max(disconnect_times, default=seen_at)
        return [
            Loss(run.fingerprint, start, _compute_run_time(run, ended_at), run.parts)
            for run in runs
            if not _was_over_before(run, ended_at)
        ]


def _was_over_before(run, ended_at):
    if run.finished_at is None or ended_at is None:
        return False
    return ended_at - run.finished_at > MAX_CRASH_DELAY_S


def _compute_run_time(run, ended_at):
    if run.begun_at is None or ended_at is None:
        return None
    return max(0.0, ended_at - run.begun_at)

"""One upstream, as one instance sees it."""

from dataclasses import dataclass, field

from .._limits import AdaptiveLimit
from .._peers import ListedUpstream

FAILURES_TO_EJECT = 3
EJECT_BASE_S = 1.0
EJECT_MAX_S = 30.0
LEAVING_FORGET_S = 60.0


@dataclass(eq=False)
class Upstream:
    """State of one upstream. Times are on the monotonic clock.

    *running* and *waiting* are as last reported; *in_flight* is our own count
    now and *in_flight_at_report* what it was then.
    """

    listed: ListedUpstream
    limit: AdaptiveLimit = field(default_factory=AdaptiveLimit)
    in_flight: int = 0
    in_flight_at_report: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 8
    versions: frozenset[str] | None = None
    reported_at: float = float("-inf")
    failures: int = 0
    ejections: int = 0
    ejected_until: float = float("-inf")
    unreachable: bool = False
    left_at: float = float("-inf")

    @property
    def load(self):
        """The estimated use of its slots: what was reported, put right by ours."""
        since = self.in_flight - self.in_flight_at_report
        return max(self.running + self.waiting + since, self.in_flight) / self.slots

    def is_leaving(self, now):
        """Return whether it may get no new work because it leaves."""
        return self.listed.leaving or now - self.left_at < LEAVING_FORGET_S

    def is_ejected(self, now):
        """Return whether recent failures keep new work away."""
        return now < self.ejected_until

    def has_version(self, version):
        """Return whether it has *version* loaded, as far as is known."""
        return self.versions is None or version is None or version in self.versions

    def note_failure(self, now, unreachable=False):
        """Count a failure; eject for longer each time in a row.

        An upstream that was only *unreachable* is back with its next report
        of its load; one that answers with errors sits its time out.
        """
        self.failures += 1
        self.unreachable = unreachable
        if self.failures < FAILURES_TO_EJECT:
            return
        pause = min(EJECT_MAX_S, EJECT_BASE_S * 2**self.ejections)
        self.ejected_until = now + pause
        self.ejections += 1
        # After the pause a single failure ejects it again.
        self.failures = FAILURES_TO_EJECT - 1

    def note_reachable(self):
        """It has answered for its load after all."""
        if self.unreachable:
            self.unreachable = False
            self.ejected_until = float("-inf")
            self.note_success()

    def note_success(self):
        """Count a success, which clears what failures left."""
        self.failures = 0
        self.ejections = 0

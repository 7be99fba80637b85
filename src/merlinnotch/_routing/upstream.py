"""State of one upstream, as seen by one instance."""

import functools
from dataclasses import dataclass, field

from .._limits import AdaptiveLimit
from .._notices import UpstreamNotices
from .._peers import ListedUpstream
from .._rate_limits import LimitBook, PermitSchedule

EJECTION_FAILURES = 3
EJECTION_BASE_S = 1.0
EJECTION_MAX_S = 30.0


@dataclass(frozen=True)
class UpstreamStart:
    """Identifies one start of an upstream, as far as the listing shows it."""

    id: str
    address: str


@dataclass(eq=False)
class Upstream:
    """State of one upstream. Times are of the monotonic clock.

    *running* and *waiting* are the last reported request counts. *in_flight* is the
    number of this instance's own requests, *in_flight_at_report* that number at the
    time of the report. *versions* is None until known. *notices* has what all upstreams
    asked of their senders, *schedule* when permits for limited ones may be due.
    """

    listed: ListedUpstream
    notices: UpstreamNotices = field(default_factory=UpstreamNotices)
    schedule: PermitSchedule = field(
        default_factory=lambda: PermitSchedule(LimitBook())
    )
    limit: AdaptiveLimit = field(default_factory=AdaptiveLimit)
    in_flight: int = 0
    in_flight_at_report: int = 0
    running: int = 0
    waiting: int = 0
    slots: int = 8
    versions: frozenset[str] | None = None
    reported_at: float = float("-inf")
    failures: int = 0
    ejection_count: int = 0
    ejected_until: float = float("-inf")
    unreachable: bool = False

    @functools.cached_property
    def start(self):
        """The :class:`UpstreamStart` that its notices belong to."""
        return UpstreamStart(self.listed.id, self.listed.address)

    @property
    def load(self):
        """Estimated load per slot: the report, corrected by own requests since."""
        delta = self.in_flight - self.in_flight_at_report
        return max(self.running + self.waiting + delta, self.in_flight) / self.slots

    def is_leaving(self, now):
        """Return whether it is shutting down and must get no new requests."""
        return self.listed.leaving or self.notices.is_leaving(self.start, now)

    def get_rest_s(self, now):
        """Return for how many more seconds it wants no requests."""
        return self.notices.get_rest_s(self.start, now)

    def get_wait_s(self, now):
        """Return in how many seconds it may get a request, 0 if at once.

        Until then it rests, or its limit leaves no request.
        """
        return max(self.get_rest_s(now), self.schedule.get_wait_s(self.start, now))

    def may_get_request(self, now):
        """Return whether it accepts work and its limit may leave a request."""
        wait_s = self.schedule.get_wait_s(self.start, now)
        return self.accepts_work(now) and wait_s <= 0.0

    def accepts_work(self, now):
        """Return whether it is neither leaving nor resting."""
        return not self.listed.leaving and self.notices.accepts_work(self.start, now)

    def is_free(self, now):
        """Return whether it takes another request now and isn't ejected."""
        has_capacity = self.in_flight < self.limit.value
        return has_capacity and not self.is_ejected(now) and self.may_get_request(now)

    def is_ejected(self, now):
        """Return whether it is ejected after consecutive failures."""
        return now < self.ejected_until

    def has_version(self, version):
        """Return whether it has *version* loaded, or this is unknown."""
        return self.versions is None or version is None or version in self.versions

    def record_failure(self, now, unreachable=False):
        """Count a failure; after several in a row eject the upstream.

        The ejection time doubles with each consecutive ejection. The next load report
        ends the ejection of an *unreachable* upstream, but not of one that answers
        with errors.
        """
        self.failures += 1
        self.unreachable = unreachable
        if self.failures < EJECTION_FAILURES:
            return
        ejection_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2**self.ejection_count)
        self.ejected_until = now + ejection_s
        self.ejection_count += 1
        # After the ejection a single failure ejects it again.
        self.failures = EJECTION_FAILURES - 1

    def record_reachable(self):
        """End an ejection for being unreachable, after a load report arrived."""
        if self.unreachable:
            self.unreachable = False
            self.ejected_until = float("-inf")
            self.record_success()

    def record_success(self):
        """Record a success, which resets the failure counts."""
        self.failures = 0
        self.ejection_count = 0

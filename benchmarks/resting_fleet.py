"""Simulated upstreams that rest, and instances that choose among them.

For :mod:`benchmarks.resting_zones`. Notices, choice, placement and retry budgets are
the production code.
"""

import math
from dataclasses import dataclass, field

from merlinnotch._errors import ErrorKind, RequestRefused
from merlinnotch._fleet.view import FleetView
from merlinnotch._gateway import RetryBudgets, UpstreamChooser
from merlinnotch._gateway.call import Call
from merlinnotch._notices import NoticeRecorder
from merlinnotch._placement import (
    ColdRateLimit,
    LoadTable,
    Placer,
    PrefillRates,
    RendezvousWarmUp,
)
from merlinnotch._rate_limits import LimitBook, PermitSchedule
from merlinnotch._rollout import VersionChooser
from merlinnotch.platform import decode_item, decode_notice
from merlinnotch.platform.headers import decode_request

SERVICE = "s"
ZONES = ("a", "b", "c", "d")
INSTANCES_PER_ZONE = 2
UPSTREAMS_PER_ZONE = 3
SLOTS = 4
MAX_WAITING = 4
SERVICE_TIME_S = 0.15
RESTS_FROM = 3.0
RESTS_UNTIL = 6.0
RETRY_RATIO = 0.2
RETRY_SLACK = 16
RETRY_WINDOW_S = 10.0
UNAVAILABLE = 503


@dataclass(frozen=True)
class LoadReport:
    """The request counts in a response head."""

    running: int
    waiting: int


@dataclass
class SimulatedUpstream:
    """An upstream that runs up to SLOTS requests and queues up to MAX_WAITING.

    *end_times* is a heap of the end times of its requests.
    """

    rests: bool
    end_times: list[float] = field(default_factory=list)

    @property
    def running(self):
        """The number of requests that have a slot."""
        return min(SLOTS, len(self.end_times))

    @property
    def waiting(self):
        """The number of requests in the queue."""
        return len(self.end_times) - self.running

    @property
    def is_full(self):
        """Whether it turns requests away."""
        return self.waiting >= MAX_WAITING

    def add(self, duration_s, now):
        """Add a request that runs for *duration_s*; return when it ends."""
        start = now
        if len(self.end_times) >= SLOTS:
            start = sorted(self.end_times)[-SLOTS]
        self.end_times.append(start + duration_s)
        return start + duration_s

    def remove_finished(self, now):
        """Remove the requests that ended by *now*."""
        self.end_times = [end for end in self.end_times if end > now]

    def get_rest_s(self, now):
        """Return the seconds of rest that it asks for, 0 outside of a rest."""
        if not self.rests or not RESTS_FROM <= now < RESTS_UNTIL:
            return 0.0
        return math.ceil((RESTS_UNTIL - now) * 100.0) / 100.0


class SimulatedInstance:
    """The parts of an instance that decide where requests are sent."""

    def __init__(self, name, zone, generator, records_notices):
        self.name = name
        self.view = FleetView(decode_item)
        self.loads = LoadTable(lambda service: None, generator)
        placer = Placer(zone, self.loads, PrefillRates(), generator)
        self._chooser = UpstreamChooser(
            self.view,
            VersionChooser(generator),
            placer,
            RendezvousWarmUp(name, zone, self.view, ColdRateLimit()),
            PermitSchedule(LimitBook()),
            generator,
        )
        count = INSTANCES_PER_ZONE * len(ZONES)
        budgets = RetryBudgets(
            RETRY_RATIO, RETRY_WINDOW_S, lambda service, now: RETRY_SLACK / count
        )
        self._budget = budgets.get(SERVICE, 0.0)
        self._recorder = NoticeRecorder(self.view.notices)
        self._records_notices = records_notices

    def start_call(self, request, number, now):
        """Return the :class:`Call` of a caller's request."""
        self._budget.record_first_attempt(now)
        return Call(
            request=request,
            headers=decode_request({"x-attempt-id": f"{number}"}),
            header_pairs=[],
            configuration=None,
            route=None,
            team=None,
            arrived_at=now,
            deadline=request.deadline,
            service=SERVICE,
        )

    def choose_upstream(self, call, now):
        """Return the upstream for the next attempt, as the forwarder does.

        Raises :class:`RequestRefused` if there is none.
        """
        upstream = self._chooser.choose_upstream(call, now).upstream
        if call.send_count and not self._budget.try_acquire(now):
            raise RequestRefused(ErrorKind.NO_UPSTREAM, "no retry budget")
        call.send_count += 1
        return upstream

    def record_refusal(self, call, upstream, fields, report, now):
        """Record that *upstream* did not run the call."""
        call.tried_starts.add(upstream.start)
        load = self.loads.get(upstream)
        load.record_report(report.running, report.waiting, now)
        load.in_flight -= 1
        if self._records_notices:
            notice = decode_notice(UNAVAILABLE, fields)
            self._recorder.record(upstream.start, upstream.id, notice, now)

    def record_response(self, upstream, latency_s, report, now):
        """Record a complete response of *upstream*."""
        load = self.loads.get(upstream)
        load.record_report(report.running, report.waiting, now)
        load.in_flight -= 1
        load.record_response(latency_s)
        load.record_success(now)

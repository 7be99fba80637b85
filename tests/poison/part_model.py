"""A model of callers, instances and upstreams, in which a prompt part is deadly."""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from merlinnotch._fleet import UpstreamStart
from merlinnotch._poison import BlockList, CrashAttributor, Loss, PartTracker, Run
from merlinnotch._poison.attribution import CRASH_WINDOW_S

REPLACEMENT_S = 3.0
MAX_ATTEMPTS = 3
DETECTION_S = 0.02
VERDICT_S = 0.15
"""Time from a loss to the decision of the evaluator."""
TAKEOVER_S = 0.25
"""Additional time of each further evaluator."""
STORE_S = 2.0
"""Time after which the store tells a block to instances that missed the message."""
MAX_EVALUATORS = 8
DEADLY = b"deadly"


@dataclass
class Settings:
    """The size and load of a deployment.

    *deadly_share* is the share of the requests with the deadly part from *deadly_from*
    on, *position* its index in their prompts, and *loss_rate* that of datagrams.
    *first_parts* and *second_parts* are how many parts there are at both places.
    *outage_rate* is how many upstreams per second end for another reason.
    """

    upstreams: int = 5
    instances: int = 8
    requests_per_s: float = 30.0
    deadly_share: float = 0.3
    deadly_from: float = 12.0
    position: int = 1
    loss_rate: float = 0.0
    first_parts: int = 20
    second_parts: int = 139
    outage_rate: float = 0.0


@dataclass
class Request:
    number: int
    parts: tuple
    instance: int
    duration_s: float
    attempts: int = 0

    @property
    def is_deadly(self):
        return DEADLY in self.parts

    @property
    def fingerprint(self):
        return b"request %d" % self.number


@dataclass
class Outcome:
    """What happened: crashes by cause, deadly sends, and sound requests by result."""

    crashed_at: list = field(default_factory=list)
    deadly_sent_at: list = field(default_factory=list)
    refused_sound_at: list = field(default_factory=list)
    blocked_at: dict = field(default_factory=dict)
    lifted_at: dict = field(default_factory=dict)

    def count_late_deadly(self, delay_s=3.0):
        """Return the deadly sends later than *delay_s* after the fifth crash."""
        if len(self.crashed_at) < 5:
            return 0
        return sum(t > self.crashed_at[4] + delay_s for t in self.deadly_sent_at)


class Model:
    """Plays *settings* for *duration_s* seconds with random numbers from *seed*."""

    def __init__(self, settings, seed):
        self._settings = settings
        self._random = random.Random(seed)
        self._events = []
        self._order = itertools.count()
        self._upstreams = {}
        self._upstream_numbers = itertools.count()
        self._blocks = [BlockList() for _ in range(settings.instances)]
        self._trackers = [PartTracker(blocked) for blocked in self._blocks]
        self._attributors = [CrashAttributor(blocked) for blocked in self._blocks]
        self._is_due = [False] * MAX_EVALUATORS
        self.outcome = Outcome()

    def play(self, duration_s):
        settings = self._settings
        for _ in range(settings.upstreams):
            self._start_upstream(0.0)
        self._schedule(0.0, self._arrive, itertools.count())
        if settings.outage_rate:
            self._schedule(settings.deadly_from, self._end_by_outage)
        while self._events and self._events[0][0] < duration_s:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self.outcome

    def _schedule(self, at, action, *arguments):
        heapq.heappush(self._events, (at, next(self._order), action, arguments))

    def _start_upstream(self, now):
        self._upstreams[UpstreamStart(f"i-{next(self._upstream_numbers)}")] = []

    def _arrive(self, now, numbers):
        settings = self._settings
        parts = [
            b"first %d" % self._random.randrange(settings.first_parts),
            b"second %d" % self._random.randrange(settings.second_parts),
        ]
        is_late = now >= settings.deadly_from
        if is_late and self._random.random() < settings.deadly_share:
            parts[settings.position] = DEADLY
        request = Request(
            next(numbers),
            tuple(parts),
            self._random.randrange(settings.instances),
            self._random.expovariate(1.0),
        )
        self._send(now, request)
        gap_s = self._random.expovariate(settings.requests_per_s)
        self._schedule(now + gap_s, self._arrive, numbers)

    def _send(self, now, request):
        blocked = self._blocks[request.instance]
        if any(key in blocked for key in (request.fingerprint, *request.parts)):
            if not request.is_deadly:
                self.outcome.refused_sound_at.append(now)
            return
        if not self._upstreams or request.attempts >= MAX_ATTEMPTS:
            return
        request.attempts += 1
        if request.is_deadly:
            self.outcome.deadly_sent_at.append(now)
        start = self._random.choice(list(self._upstreams))
        run = Run(request.fingerprint, start, request.parts)
        self._upstreams[start].append((run, request))
        wait_s = self._random.uniform(0.02, 0.15)
        self._schedule(now + wait_s, self._begin, run, request)

    def _begin(self, now, run, request):
        if run.finished_at is not None:
            return
        run.begun_at = now
        if request.is_deadly:
            delay_s = self._random.uniform(0.02, 0.13)
            self._schedule(now + delay_s, self._crash, run.start)
            return
        ends_at = now + request.duration_s
        self._schedule(ends_at, self._finish, run, request)
        if request.duration_s > 1.1 * CRASH_WINDOW_S:
            survived_at = now + 1.1 * CRASH_WINDOW_S
            self._schedule(survived_at, self._survive, run, request)

    def _survive(self, now, run, request):
        if run.finished_at is not None:
            return
        tracker = self._trackers[request.instance]
        for part in tracker.record_survived(run, now):
            self._clear(now, part, request.instance)

    def _clear(self, now, part, sender):
        for instance, tracker in enumerate(self._trackers):
            if instance == sender or self._is_delivered():
                self._blocks[instance].remove(part)
                self._attributors[instance].clear(part)
                tracker.clear(part)

    def _finish(self, now, run, request):
        if run.finished_at is None:
            self._survive(now, run, request)
            run.abandoned_at = now
            self._upstreams[run.start].remove((run, request))

    def _end_by_outage(self, now):
        if self._upstreams:
            self._crash(now, self._random.choice(list(self._upstreams)))
        gap_s = self._random.expovariate(self._settings.outage_rate)
        self._schedule(now + gap_s, self._end_by_outage)

    def _crash(self, now, start):
        runs = self._upstreams.pop(start, None)
        if runs is None:
            return
        self.outcome.crashed_at.append(now)
        self._schedule(now + REPLACEMENT_S, self._start_upstream)
        by_instance = {}
        for run, request in runs:
            run.disconnected_at = now
            run_time_s = None if run.begun_at is None else now - run.begun_at
            loss = Loss(request.fingerprint, start, run_time_s, request.parts)
            by_instance.setdefault(request.instance, []).append(loss)
            self._schedule(now + DETECTION_S, self._send, request)
        for instance, losses in by_instance.items():
            self._schedule(now + DETECTION_S, self._report, instance, losses)

    def _report(self, now, instance, losses):
        tracker = self._trackers[instance]
        reports = [(loss, tracker.classify(loss.parts, now)) for loss in losses]
        tracker.suspect(losses, now)
        for evaluator, other in enumerate(self._trackers[:MAX_EVALUATORS]):
            if evaluator == instance or self._is_delivered():
                for loss, usages in reports:
                    other.record_loss(loss, usages, now)
                    self._attributors[evaluator].record_loss(loss, now)
                self._wake_up(now, evaluator)

    def _wake_up(self, now, evaluator):
        if not self._is_due[evaluator]:
            self._is_due[evaluator] = True
            delay_s = VERDICT_S + TAKEOVER_S * evaluator
            self._schedule(now + delay_s, self._decide, evaluator)

    def _decide(self, now, evaluator):
        self._is_due[evaluator] = False
        attributor = self._attributors[evaluator]
        for verdict in self._trackers[evaluator].attributor.block_culprits(now):
            self._announce(now, verdict.part, verdict.starts, evaluator)
            for part in verdict.acquitted:
                self.outcome.lifted_at[part] = now
                self._clear(now, part, evaluator)
        for fingerprint, starts in attributor.block_culprits(now):
            self._announce(now, fingerprint, starts, evaluator)

    def _announce(self, now, key, starts, evaluator):
        self.outcome.blocked_at.setdefault(key, now)
        for instance in range(self._settings.instances):
            is_told = instance == evaluator or self._is_delivered()
            delay_s = 0.002 if is_told else STORE_S
            told = starts if is_told else ()
            self._schedule(now + delay_s, self._block, instance, key, told)

    def _block(self, now, instance, key, starts):
        self._blocks[instance].add(key, now)
        self._trackers[instance].attributor.attribute(key, starts)
        self._attributors[instance].attribute(key, starts, now)
        for start, runs in list(self._upstreams.items()):
            for run, request in list(runs):
                is_hit = key in (request.fingerprint, *request.parts)
                if request.instance == instance and is_hit and run.begun_at is None:
                    run.abandoned_at = now
                    self._upstreams[start].remove((run, request))

    def _is_delivered(self):
        return self._random.random() >= self._settings.loss_rate

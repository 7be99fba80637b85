"""Recorded history of a soak, and the checks for violated guarantees."""

import collections
import operator
from dataclasses import dataclass, field

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
UNAUTHENTICATED = 401
OK = 200
PROPAGATION_S = 2.0
"""Time within which instances apply a changed key or a drained upstream."""
UNDISTURBED_S = 3.0
"""Time after a fault during which time bounds are not checked for the instance."""
ONCE_KINDS = ("once", "long")
"""Kinds of requests that may run at most once."""
BODY = b"body"
POISON = b"poison"
COMMON_PART = "c0ffee01"
DEADLY_PART = "dead0001"
"""Body of the request that crashes every upstream that runs it."""
CRASHES_BEFORE_BLOCK = 3
PART_CRASHES_BEFORE_BLOCK = 5
MAX_CRASHES_AFTER_BLOCK = 3
"""Upstreams that a request or a part may still crash after so many crashes."""
RECORDING_DELAY_S = 0.5
"""Allowed delay between an event and its entry in the history."""
REST_REACTION_S = 0.5
"""Time within which an instance applies the rest that it was turned away with."""
MAX_REQUESTS_IN_REST = 2
LIMIT_REACTION_S = 0.5
"""Time within which an instance applies the limit that it was told."""
LIMIT_WINDOW_S = 4.0
LIMIT_OVERSHOOT = 1.5
LIMIT_SLACK = 5.0
LIMIT_CHANGE_S = 1.0
"""Time in which a changed limit becomes known by the next answers."""
LIMIT_STEP_S = 0.05


@dataclass(frozen=True)
class Run:
    """Execution of a request by an upstream.

    *failed* is set if the upstream returned an error or closed the connection,
    *is_intact* if the body was the one that the caller sent.
    """

    attempt_id: str
    upstream: str
    team: str | None
    has_credential: bool
    started_at: float
    failed: bool = False
    is_intact: bool = True


@dataclass(frozen=True)
class Arrival:
    """A request as an upstream received it, run or not.

    *is_leaving* is set if the answer said that the upstream is leaving. *rest_s* is the
    rest that the request was turned away with, 0 if it was not. *limit_per_s* is the
    limit that the answer names, None without one.
    """

    attempt_id: str
    upstream: str
    at: float
    is_leaving: bool = False
    rest_s: float = 0.0
    limit_per_s: float | None = None


@dataclass(frozen=True)
class Outcome:
    """Result of an attempt, as seen by the caller.

    *status* is 0 without a complete answer. *is_complete* is set if the answer
    ended as its framing says; *body* is the part that was received. *answered_id* is
    the attempt that the answer names, None without one.
    """

    attempt_id: str
    instance: str
    kind: str
    key: str
    status: int
    is_complete: bool
    body: bytes
    sent_at: float
    ended_at: float
    answered_id: str | None = None


@dataclass(frozen=True)
class Repeat:
    """Another copy of the answer to *attempt_id*, sent by *upstream*.

    *form* says when it was sent, whether with the id and how often.
    """

    attempt_id: str
    upstream: str
    at: float
    form: str


@dataclass
class History:
    """Everything recorded during one soak; all times are times of read_clock().

    *key_versions* holds (time of the write, valid keys), *drained_at* maps upstream
    ids to times, *fault_spans* maps instance names to lists of (start, end).
    *stops* holds (instance, time of SIGTERM, time of exit), *crashes* holds (time,
    attempt id) of each upstream that the poison request crashed, *part_crashes* of each
    that a request with the deadly prompt part crashed. *interruptions* maps
    instances to the spans of their restarts and pauses, and upstreams to those in which
    their connections were cut. *limits* maps upstreams to lists of (time, requests per
    second that they name from then on, None without a limit). *surplus* holds
    (instance, previous attempt, bytes) of what callers got without an open request.
    *senders* maps (attempt id, upstream) to the instances that logged that they sent
    it, as another instance may have relayed it.
    """

    arrivals: list[Arrival] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    key_versions: list = field(default_factory=list)
    drained_at: dict[str, float] = field(default_factory=dict)
    fault_spans: dict = field(default_factory=lambda: collections.defaultdict(list))
    stops: list = field(default_factory=list)
    unexpected_exits: list[str] = field(default_factory=list)
    crashes: list = field(default_factory=list)
    part_crashes: list = field(default_factory=list)
    interruptions: dict = field(default_factory=lambda: collections.defaultdict(list))
    limits: dict = field(default_factory=lambda: collections.defaultdict(list))
    repeats: list[Repeat] = field(default_factory=list)
    surplus: list = field(default_factory=list)
    senders: dict = field(default_factory=lambda: collections.defaultdict(set))

    def record_fault(self, instance, start, end):
        """Record that a fault affected *instance* from *start* to *end*."""
        self.fault_spans[instance].append((start, end))

    def record_interruption(self, name, start, end):
        """Record that the instance or upstream *name* was interrupted."""
        self.interruptions[name].append((start, end))

    def is_connected(self, instance, upstream, start, end):
        """Return whether neither *instance* nor its way to *upstream* failed."""
        return all(
            span_end + RECORDING_DELAY_S <= start or span_start >= end
            for name in (instance, upstream)
            for span_start, span_end in self.interruptions[name]
        )

    def is_undisturbed(self, instance, start, end):
        """Return whether no fault affected *instance* in the span.

        A fault counts until UNDISTURBED_S after its end.
        """
        return all(
            fault_end + UNDISTURBED_S <= start or fault_start >= end
            for fault_start, fault_end in self.fault_spans[instance]
        )


def find_violations(history):
    """Return a message for each violated guarantee."""
    return [
        line
        for check in (
            _check_runs,
            _check_refusals,
            _check_answers,
            _check_answered_ids,
            _check_surplus,
            _check_requests,
            _check_teams,
            _check_keys,
            _check_draining,
            _check_stops,
            _check_poison,
            _check_deadly_part,
            _check_leaving,
            _check_rests,
            _check_limits,
        )
        for line in check(history)
    ] + [f"exited unexpectedly: {name}" for name in history.unexpected_exits]


def _check_runs(history):
    kinds = {o.attempt_id: o.kind for o in history.outcomes}
    counts = collections.Counter(run.attempt_id for run in history.runs)
    for attempt_id, count in counts.items():
        if kinds.get(attempt_id) in ONCE_KINDS and count > 1:
            yield f"executed {count} times: {attempt_id}"


def _check_refusals(history):
    executed = {run.attempt_id for run in history.runs}
    for outcome in history.outcomes:
        if outcome.status in NOT_EXECUTED_STATUSES and outcome.attempt_id in executed:
            yield f"executed despite the status: {outcome.attempt_id} {outcome.status}"


def _check_answers(history):
    for outcome in history.outcomes:
        if outcome.status != OK or not outcome.is_complete:
            continue
        if outcome.kind == "stream":
            expected = make_stream_body(outcome.attempt_id)
        else:
            expected = make_body(outcome.attempt_id)
        if outcome.body != expected:
            yield f"unexpected answer: {outcome.attempt_id} {outcome.body[:60]!r}"


def _check_answered_ids(history):
    """Yield a message for each answer, complete or not, to another request."""
    for outcome in history.outcomes:
        if outcome.answered_id not in (None, outcome.attempt_id):
            yield f"answer to {outcome.answered_id}: {outcome.attempt_id}"
        is_failure = outcome.is_complete and outcome.body.startswith(FAILURE_PREFIX)
        if is_failure and outcome.body != make_failure_body(outcome.attempt_id):
            yield f"failure of another: {outcome.attempt_id} {outcome.body[:60]!r}"


def _check_surplus(history):
    for instance, attempt_id, data in history.surplus:
        yield f"bytes after the answer: {attempt_id} {instance} {data[:60]!r}"


def _check_requests(history):
    """Yield a message for each run of what no caller sent."""
    sent = {outcome.attempt_id for outcome in history.outcomes}
    for run in history.runs:
        if run.attempt_id not in sent:
            yield f"not sent by a caller: {run.attempt_id} {run.upstream}"
        elif not run.is_intact:
            yield f"body changed: {run.attempt_id} {run.upstream}"


def _check_teams(history):
    for run in history.runs:
        if run.team != "team-a" or run.has_credential:
            yield f"wrong team or forwarded key: {run.attempt_id} {run.team}"


def _check_keys(history):
    """Yield a message for each key that was wrongly accepted or rejected.

    Every key set that may have been valid during the attempt counts.
    """
    for outcome in history.outcomes:
        sent_at = outcome.sent_at
        if not history.is_undisturbed(
            outcome.instance, sent_at - PROPAGATION_S, sent_at
        ):
            continue
        known_keys = [
            keys
            for instant, keys in history.key_versions
            if instant <= outcome.ended_at
        ]
        settled_keys = [
            keys
            for instant, keys in history.key_versions
            if instant <= sent_at - PROPAGATION_S - RECORDING_DELAY_S
        ]
        possible_keys = known_keys[max(0, len(settled_keys) - 1) :]
        allowed = any(outcome.key in keys for keys in possible_keys)
        denied = any(outcome.key not in keys for keys in possible_keys)
        if outcome.status == OK and not allowed:
            yield f"revoked key accepted: {outcome.attempt_id} {outcome.instance}"
        if outcome.status == UNAUTHENTICATED and not denied:
            yield f"valid key rejected: {outcome.attempt_id} {outcome.instance}"


def _check_draining(history):
    outcomes_by_attempt = {o.attempt_id: o for o in history.outcomes}
    for run in history.runs:
        instant = history.drained_at.get(run.upstream)
        outcome = outcomes_by_attempt.get(run.attempt_id)
        if instant is None or outcome is None:
            continue
        late = run.started_at > instant + PROPAGATION_S + RECORDING_DELAY_S
        if late and history.is_undisturbed(outcome.instance, instant, run.started_at):
            yield f"sent to {run.upstream} after it was drained: {run.attempt_id}"


def _check_stops(history):
    """Yield a message for each answer that a graceful shutdown aborted.

    Ignores answers whose last upstream failed, and requests that were sent after the
    signal and not passed on.
    """
    last_runs = {run.attempt_id: run for run in history.runs}
    for instance, signalled_at, ended_at in history.stops:
        if not history.is_undisturbed(
            instance, signalled_at - UNDISTURBED_S, signalled_at
        ):
            continue
        for outcome in history.outcomes:
            if outcome.instance != instance or outcome.status:
                continue
            last_run = last_runs.get(outcome.attempt_id)
            was_in_flight = (
                outcome.sent_at < signalled_at < outcome.ended_at <= ended_at
            )
            was_sent_during_stop = signalled_at <= outcome.sent_at < ended_at
            was_passed_on = was_sent_during_stop and last_run is not None
            if not was_in_flight and not was_passed_on:
                continue
            if last_run is None or not last_run.failed:
                yield f"aborted by a graceful shutdown: {outcome.attempt_id} {instance}"


def _check_poison(history):
    """Yield a message if poison requests crash upstreams after they are blocked."""
    late = _find_late_crashes(history, history.crashes, CRASHES_BEFORE_BLOCK)
    if len(late) > MAX_CRASHES_AFTER_BLOCK:
        yield f"upstreams crashed by a blocked request: {' '.join(late)}"


def _check_deadly_part(history):
    """Yield a message if a prompt part crashes upstreams after it is blocked."""
    late = _find_late_crashes(history, history.part_crashes, PART_CRASHES_BEFORE_BLOCK)
    if len(late) > MAX_CRASHES_AFTER_BLOCK:
        yield f"upstreams crashed by a blocked prompt part: {' '.join(late)}"


def _find_late_crashes(history, crashes, count_before_block):
    """Return the attempts that crashed upstreams after the block was known."""
    if len(crashes) <= count_before_block:
        return []
    blocked_from = crashes[count_before_block - 1][0]
    outcomes_by_attempt = {o.attempt_id: o for o in history.outcomes}
    late = []
    for instant, attempt_id in crashes:
        outcome = outcomes_by_attempt.get(attempt_id)
        if (
            outcome is None
            or instant < blocked_from + UNDISTURBED_S + RECORDING_DELAY_S
        ):
            continue
        if history.is_undisturbed(outcome.instance, instant - UNDISTURBED_S, instant):
            late.append(attempt_id)
    return late


def _check_leaving(history):
    """Yield a message for each request to an upstream whose leaving was passed on.

    A complete answer with status 200 is the one of the last upstream.
    """
    last_arrivals = {a.attempt_id: a for a in history.arrivals}
    passed_on_at = collections.defaultdict(list)
    for outcome in history.outcomes:
        arrival = last_arrivals.get(outcome.attempt_id)
        if arrival is None or not arrival.is_leaving:
            continue
        if outcome.status == OK and outcome.is_complete:
            passed_on_at[outcome.instance, arrival.upstream].append(outcome.ended_at)
    for link, arrivals in _group_by_link(history).items():
        for arrival in arrivals:
            if any(
                arrival.at > instant + PROPAGATION_S
                and history.is_connected(*link, instant, arrival.at)
                for instant in passed_on_at[link]
            ):
                yield f"sent to {link[1]} after its notice: {arrival.attempt_id}"


def _check_rests(history):
    """Yield a message for each rest in which an instance sent too many requests."""
    for link, arrivals in _group_by_link(history).items():
        for first in arrivals:
            late = [
                arrival
                for arrival in arrivals
                if first.at + REST_REACTION_S < arrival.at < first.at + first.rest_s
                and history.is_connected(*link, first.at, arrival.at)
            ]
            if len(late) > MAX_REQUESTS_IN_REST:
                ids = " ".join(arrival.attempt_id for arrival in late)
                yield f"sent to {link[1]} in its rest by {link[0]}: {ids}"


def _check_limits(history):
    """Yield a message for each upstream that got more than its limit allows.

    Counts the requests of instances that had passed on an answer which named a limit,
    in any window in which the upstream named one all the time.
    """
    for upstream, changes in history.limits.items():
        counted = sorted(_list_limited_arrivals(history, upstream))
        for first in counted:
            allowed = _compute_allowed(changes, first)
            count = sum(first <= at < first + LIMIT_WINDOW_S for at in counted)
            if count > allowed:
                yield f"{count} requests at {upstream}, {allowed:.1f} allowed"
                break


def _list_limited_arrivals(history, upstream):
    """Yield the times of requests by instances that know the limit of *upstream*."""
    outcomes = {o.attempt_id: o for o in history.outcomes}
    for link, arrivals in _group_by_link(history).items():
        if link[1] != upstream:
            continue
        told_at = [
            outcomes[arrival.attempt_id].ended_at
            for arrival in arrivals
            if arrival.limit_per_s is not None
            and outcomes[arrival.attempt_id].status == OK
        ]
        for arrival in arrivals:
            if any(
                arrival.at > instant + LIMIT_REACTION_S
                and history.is_connected(*link, instant, arrival.at)
                for instant in told_at
            ):
                yield arrival.at


def _compute_allowed(changes, start):
    """Return the requests allowed in the window from *start* on.

    It is infinite if no limit was named in a part of it.
    """
    steps = range(int(LIMIT_WINDOW_S / LIMIT_STEP_S))
    limits = [_get_limit(changes, start + step * LIMIT_STEP_S) for step in steps]
    return LIMIT_OVERSHOOT * LIMIT_STEP_S * sum(limits) + LIMIT_SLACK


def _get_limit(changes, instant):
    """Return the highest limit that may be known at *instant*."""
    known = [per_s for at, per_s in changes if at <= instant]
    recent = [
        per_s for at, per_s in changes if instant - LIMIT_CHANGE_S < at <= instant
    ]
    before = known[: len(known) - len(recent)]
    limits = before[-1:] + recent
    if not limits or None in limits:
        return float("inf")
    return max(limits)


def _group_by_link(history):
    """Return lists of the arrivals by (instance, upstream).

    The instance is the one that the caller asked, unless only another one sent it.
    """
    instances = {o.attempt_id: o.instance for o in history.outcomes}
    arrivals_by_link = collections.defaultdict(list)
    for arrival in history.arrivals:
        instance = instances.get(arrival.attempt_id)
        if instance is None:
            continue
        senders = history.senders.get((arrival.attempt_id, arrival.upstream), ())
        if len(senders) == 1:
            (instance,) = senders
        arrivals_by_link[instance, arrival.upstream].append(arrival)
    return arrivals_by_link


def make_body(attempt_id):
    """Return the body of the answer to a plain request."""
    return f"done {attempt_id}".encode()


FAILURE_PREFIX = b"failed "


def make_failure_body(attempt_id):
    """Return the body of the answer of a run that failed."""
    return FAILURE_PREFIX + attempt_id.encode()


def make_long_body(attempt_id):
    """Return the body of a request that instances don't send in one piece."""
    return f"{attempt_id:>30}".encode() * 3000


def list_bodies(method, attempt_id):
    """Return the bodies that callers send with *method*."""
    return [b""] if method == "GET" else [BODY, make_long_body(attempt_id)]


STREAM_EVENTS = 12


def make_event(attempt_id, number):
    """Return one event of the stream that answers *attempt_id*."""
    return f"id: {number}\ndata: {attempt_id} {number}\n\n".encode()


def make_stream_body(attempt_id):
    """Return all events of the stream that answers *attempt_id*."""
    return b"".join(make_event(attempt_id, n + 1) for n in range(STREAM_EVENTS))


def write_history(history, path):
    """Write the records of requests to *path*, one per line, in the order of time."""
    events = [(arrival.at, arrival) for arrival in history.arrivals]
    events += [(run.started_at, run) for run in history.runs]
    events += [(repeat.at, repeat) for repeat in history.repeats]
    events += [(outcome.ended_at, outcome) for outcome in history.outcomes]
    events.sort(key=operator.itemgetter(0))
    path.write_text("".join(f"{at:.4f} {record}\n" for at, record in events))

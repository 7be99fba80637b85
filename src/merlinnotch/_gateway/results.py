"""Recording of attempt results for load balancing and rollouts."""

from .._errors import PathLost
from .._fleet import RolloutState
from .._rollout import TallyKey, TimeKey, get_count_route, get_load_band, get_time_band
from .read_limits import LimitKind, ReadLimitReached

MIN_TIMED_EVENTS = 4
"""Events after which a stream's event rate is counted. Waiting for the end of the
stream would hide a slow version for too long."""

MIN_DELAY_S = 0.1
"""Delays of an engine's first event below this one are not distinguished: those that
are not slow take 0.02 to 0.15 s."""


class ResultRecorder:
    """Updates upstream load, engine slowdown and version statistics."""

    def __init__(self, parts):
        self._parts = parts
        self._read_clock = parts.read_clock

    def record_failed_attempt(self, call, upstream, error, now):
        """Count an attempt that broke off or timed out with *error* as failed.

        A failure of the path says nothing of the upstream's version.
        """
        self._parts.loads.get(upstream).record_failure(now)
        self._parts.ramp_up.record_unreachable(upstream, now)
        if not _is_path_failure(error):
            self._count_outcome(call, upstream, failed=True)

    def record_first_event(self, attempt, estimate):
        """Record how much later than by *estimate* an engine began to respond.

        The estimate contains the prefill of prompts that are not cached, so an empty
        cache is no slowness.
        """
        delay_s = attempt.head_latency_s - estimate.time_to_first_event_s
        self._parts.ramp_up.record_response(
            attempt.upstream,
            max(MIN_DELAY_S, delay_s),
            attempt.response_info.waiting,
            self._read_clock(),
        )

    def record_gap(self, call, attempt, gap_s):
        """Update the slowdown of the engine from the seconds between two events."""
        parts = self._parts
        now = self._read_clock()
        slowdown = parts.event_gaps.record(call.model, gap_s, now)
        load = parts.loads.get(attempt.upstream)
        load.record_slowdown(slowdown, now)
        parts.load_exchange.report_slowdown(attempt.upstream, load.slowdown)
        if not attempt.is_counted and attempt.event_count >= MIN_TIMED_EVENTS:
            self._count_success(call, attempt)

    def record_response(self, call, attempt, failed):
        """Count a complete response for its upstream and its version."""
        now = self._read_clock()
        load = self._parts.loads.get(attempt.upstream)
        load.record_response(now - attempt.started_at)
        self._parts.ramp_up.record_duration(call.service, now - attempt.started_at)
        if call.model is None and not failed:
            self._record_work(attempt, now)
        if failed:
            load.record_failure(now)
            self._parts.ramp_up.record_failure(attempt.upstream, now)
        else:
            load.record_success(now)
        if failed:
            self._count_outcome(
                call, attempt.upstream, True, attempt.response_info.running
            )
        elif not attempt.is_counted:
            self._count_success(call, attempt)

    def _record_work(self, attempt, now):
        """Record how long a plain upstream worked on a response.

        The queue at the response stands for the queue that the request waited in.
        """
        waiting = attempt.response_info.waiting or 0
        queue_share = waiting / max(1, attempt.upstream.slots)
        work_s = (now - attempt.started_at) / (1.0 + queue_share)
        self._parts.work_times.record(attempt.upstream, work_s, now)
        self._parts.ramp_up.record_response(attempt.upstream, work_s, waiting, now)

    def _count_success(self, call, attempt):
        """Count a successful response and its duration for its version."""
        attempt.is_counted = True
        running = attempt.response_info.running
        self._count_outcome(call, attempt.upstream, False, running)
        order = self._get_active_order(call.service)
        kind, duration_s = _measure_duration(call, attempt, self._read_clock())
        key = TimeKey(
            call.service,
            attempt.upstream.version,
            get_count_route(call.route.name, running, attempt.upstream.slots),
            order.index if order else 0,
            kind,
            get_load_band(running),
            get_time_band(duration_s),
        )
        if order:
            self._parts.version_counts.count_time(key)
        else:
            self._parts.version_counts.remember_time(key)

    def _count_outcome(self, call, upstream, failed, running=None):
        order = self._get_active_order(call.service)
        if order:
            route = get_count_route(call.route.name, running, upstream.slots)
            key = TallyKey(call.service, upstream.version, route, order.index)
            self._parts.version_counts.tallies.count(key, failed)

    def _get_active_order(self, service):
        rollout = self._parts.view.get_rollout(service)
        return rollout.order if rollout.state is RolloutState.ACTIVE else None


def _is_path_failure(error):
    if isinstance(error, ReadLimitReached):
        return error.kind is LimitKind.UNREACHABLE
    return isinstance(error, PathLost)


def _measure_duration(call, attempt, now):
    """Return a class of comparable responses and the duration to compare in seconds.

    Streams are compared by the time between events, which depends little on prompt
    length and queueing, and those with few events by the time to the response head.
    They are compared per model, as larger models generate more slowly.
    """
    if not call.route.retry_policy.is_streaming:
        return f"whole/{call.route.name}", now - attempt.started_at
    if attempt.event_count >= MIN_TIMED_EVENTS:
        gap_s = (attempt.last_relayed_at - attempt.first_relayed_at) / (
            attempt.event_count - 1
        )
        return f"gap/{call.model}", gap_s
    return f"head/{call.route.name}/{call.model}", attempt.head_latency_s

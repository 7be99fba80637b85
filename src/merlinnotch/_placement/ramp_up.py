"""Ramp-up of upstreams that have just started or recovered."""

import logging
import math
import random
from dataclasses import dataclass

from .load_policy import Feature
from .ramp_window import RampWindow
from .request_rates import ServiceRequests
from .sender_order import SenderOrder
from .usual_times import UsualTimes

logger = logging.getLogger("merlinnotch")

INITIAL_LISTING_S = 1.0
"""Starts listed within this long after the first one were there before the instance."""
YOUNG_S = 10.0
"""How long after its own start an instance learns from reports which starts ramp up,
and reports the work times that it sees."""
YOUNG_REPORT_DIVISOR = 4
"""Of the rate of reports: a restart of all instances needs no more of them."""
SLOW_RATIO = 3.0
"""Work that takes this many times the usual is slow. A machine that is busy with other
work takes 2.5 times as long."""
SLOW_SUM = 9.0
"""A warm start ramps up if the work of slow responses in a row, over all instances, was
this many times the usual in sum. If work times are exponentially distributed, one slow
response in 400 begins such a row."""
MAX_SLOW_RATIO = 4.5
"""Counted for one response, so that it takes at least two."""
STREAK_TTL_S = 5.0
MIN_ROUND_S = 0.1
"""Shortest interval between two steps of growth, so that requests sent in one step are
answered before the next and instances that grow at the same time take one step."""
MAX_QUEUE_SHARE = 0.25
"""A queue longer than this share of the slots is not short."""
FIRST_TRY_WAIT_S = 0.25
"""Mean wait for a request to the few instances that may send a try that is due."""
WIDEN_AFTER_S = 0.75
"""A try that is due for longer may be sent by more and more instances."""
WIDEN_DOUBLING_S = 0.25
MAX_SILENT_WIDENING = 2.0
"""Until an instance has reports of tries of others, the exchange may be cut, and
every one of them would send a try."""
SILENCE_S = 2.0
"""Without a report on a start for this long, an instance takes the exchange as cut."""
ALONE_SHARE = 0.025
"""Share of an instance's requests that are tries while the exchange is cut. 3 in 100
callers may be late, and each try may be one."""
UNTRIED_S = 10.0
REPEATABLE_TTL_S = 60.0
"""A start that has not been tried for the first time gets requests that may not be
repeated if there have been no others for the second: otherwise services without
requests that may be repeated would lose the upstream."""
DURATION_WEIGHT = 0.1
BAD_WORK_MS = 60_000
"""Reported as work time for a response that was shed or failed."""


@dataclass
class _Streak:
    """Slow responses of a warm start in a row, the latest one at *at*.

    *sum* is the sum of their work times, relative to the usual one.
    """

    sum: float
    at: float


class RampUp:
    """Limits the requests in flight to upstreams that have just started or recovered.

    *name* and *zone* are those of the instance, *view* is the fleet view. *report* is
    called with an upstream, its window or None, the work time of a response in
    milliseconds or None, and the number of starts that reports are made on.

    Services for which *has_engine* is true don't ramp up: the delay of an engine's
    first event depends on the prompts before it more than on the engine's state.
    """

    def __init__(
        self,
        name,
        zone,
        view,
        loads,
        work_times,
        load_policy,
        report=lambda upstream, window, work_ms, start_count: None,
        generator=random,
        has_engine=lambda service: False,
    ):
        self._has_engine = has_engine
        self._loads = loads
        self._work_times = work_times
        self._load_policy = load_policy
        self._report = report
        self._generator = generator
        self._order = SenderOrder(name, zone, view)
        self._usual_times = UsualTimes()
        self._windows = {}
        self._streaks = {}
        self._requests = {}
        self._durations = {}
        self._first_listed_at = math.inf

    def list_windows(self):
        """Return the :class:`RampWindow` of each start that ramps up."""
        return list(self._windows.values())

    def record_listed(self, upstream, now):
        """Record that the store lists a start that it did not list before."""
        self._first_listed_at = min(self._first_listed_at, now)
        if now - self._first_listed_at > INITIAL_LISTING_S:
            self._begin(upstream, "new", now)

    def drop(self, start):
        """Drop a removed start, an :class:`UpstreamStart`."""
        self._windows.pop(start, None)
        self._streaks.pop(start, None)
        self._usual_times.drop(start)
        self._order.drop(start)

    def select(self, candidates, is_repeatable, now):
        """Return those of *candidates* that a request may be sent to at *now*.

        At least one is returned unless there are none. *is_repeatable* tells whether
        the request may be sent again after it failed.
        """
        if not candidates or not self._is_on(candidates[0], now):
            return candidates
        requests = self._requests.setdefault(
            candidates[0].service, ServiceRequests(now, repeatable_at=now)
        )
        previous_at = requests.record(is_repeatable, now)
        windows = {
            u: self._windows[u.start] for u in candidates if u.start in self._windows
        }
        if not windows:
            return candidates
        for window in windows.values():
            self._record_seen(window, previous_at, now)
        if len(windows) == len(candidates):
            return [self._draw(windows, is_repeatable)]
        due = [u for u, w in windows.items() if self._is_due(w, is_repeatable, now)]
        if due:
            return [min(due, key=lambda u: windows[u].tried_at)]
        return [
            u for u in candidates if u not in windows or self._has_room(windows[u], now)
        ]

    def record_sent(self, upstream, now):
        """Record that a request is sent to *upstream*."""
        window = self._windows.get(upstream.start)
        if window is None:
            return
        is_due = now >= window.get_due_at()
        window.record_try(now, is_own=True)
        window.alone_due_at = None
        if window.is_trying or is_due:
            self._send_report(window, None, now)

    def record_duration(self, service, duration_s):
        """Record how long a request of *service* was in flight."""
        mean_s = self._durations.get(service, duration_s)
        self._durations[service] = mean_s + DURATION_WEIGHT * (duration_s - mean_s)

    def record_response(self, upstream, work_s, waiting, now):
        """Record a successful response with *work_s* seconds of work.

        For an engine, that is the delay of the first event over its estimate. *waiting*
        is the queue that the upstream reports, or None.
        """
        if not self._is_on(upstream, now):
            return
        work_s /= self._work_times.get_pace(upstream, now)
        window = self._windows.get(upstream.start)
        is_good = self._is_good(upstream.service, work_s)
        # Starts that ramp up tell what is usual only if no other start does.
        if is_good is None or (is_good and window is None):
            self._usual_times.record(upstream, work_s)
        work_ms = min(BAD_WORK_MS, work_s * 1000.0)
        if window is None:
            self._judge_warm(upstream, is_good, work_ms, "slow", now)
            return
        window.record_answer()
        if is_good and (waiting or 0) > max(1.0, MAX_QUEUE_SHARE * upstream.slots):
            is_good, work_ms = False, BAD_WORK_MS
        if is_good is False:
            window.shrink(now)
        elif is_good and not self._grow(window, now):
            return
        self._send_report(window, work_ms, now)
        self._end_if_full(window, now)

    def record_failure(self, upstream, now):
        """Record a response that is a server error."""
        if not self._is_on(upstream, now):
            return
        window = self._windows.get(upstream.start)
        if window is None:
            self._judge_warm(upstream, False, BAD_WORK_MS, "failing", now)
        else:
            self._shrink(window, now)

    def record_shed(self, upstream, now):
        """Record a response that says that the request was not run.

        Of a warm upstream that tells that all together are short of capacity.
        """
        window = self._windows.get(upstream.start)
        if window is not None and self._is_on(upstream, now):
            self._shrink(window, now)

    def record_unreachable(self, upstream, now):
        """Record a connection that failed or broke.

        The reason may lie between this instance and the upstream, so the others don't
        learn of it.
        """
        window = self._windows.get(upstream.start)
        if window is not None:
            window.shrink(now)
        else:
            self._begin(upstream, "unreachable", now)

    def apply_report(self, upstream, size, work_ms, now):
        """Apply the window and the work time that another instance reported.

        Either is None if it was not reported.
        """
        if not self._is_on(upstream, now):
            return
        if not all(math.isfinite(n) for n in (size, work_ms) if n is not None):
            return
        is_good = None
        if work_ms is not None:
            is_good = self._is_good(upstream.service, work_ms / 1000.0)
        window = self._windows.get(upstream.start)
        if window is None:
            self._apply_report_on_warm(upstream, size, work_ms, is_good, now)
            return
        window.reported_at = now
        window.has_reports = True
        window.alone_due_at = None
        if work_ms is None:
            window.record_try(now, is_own=False)
            return
        window.record_answer()
        if size is None:
            return
        was_trying = window.is_trying
        has_changed = window.adopt(size, is_good, now)
        if was_trying and not window.is_trying:
            self._forget_past(upstream)
        if is_good and not has_changed:
            self._grow(window, now)
        self._end_if_full(window, now)

    def _is_on(self, upstream, now):
        if self._has_engine(upstream.service):
            return False
        return self._load_policy.is_on(Feature.RAMP_UP, upstream.service, now)

    def _is_good(self, service, work_s):
        """Return whether *work_s* is no slow work, None if that is not known."""
        if work_s * 1000.0 >= BAD_WORK_MS:
            return False
        usual_s = self._usual_times.get_s(service)
        return None if usual_s is None else work_s < SLOW_RATIO * usual_s

    def _begin(self, upstream, reason, now, size=None):
        if not self._is_on(upstream, now):
            return None
        window = RampWindow(upstream, reason, now)
        if size is not None:
            window.adopt(size, None, now)
        # The wait for more senders and for reports begins now.
        window.tried_at = now - window.get_pause_s()
        window.reported_at = window.seen_at = now
        self._windows[upstream.start] = window
        self._streaks.pop(upstream.start, None)
        fields = {"upstream": upstream.id, "reason": reason}
        logger.info("ramp-up started", extra=fields)
        return window

    def _end_if_full(self, window, now):
        if not window.is_full:
            return
        del self._windows[window.upstream.start]
        seconds = round(now - window.began_at, 2)
        fields = {"upstream": window.upstream.id, "seconds": seconds}
        logger.info("ramp-up ended", extra=fields)

    def _grow(self, window, now):
        usual_s = self._usual_times.get_s(window.upstream.service) or 0.0
        was_trying = window.is_trying
        has_grown = window.grow(now, max(MIN_ROUND_S, usual_s))
        if was_trying and not window.is_trying:
            self._forget_past(window.upstream)
        return has_grown

    def _shrink(self, window, now):
        window.record_answer()
        window.shrink(now)
        self._send_report(window, BAD_WORK_MS, now)

    def _forget_past(self, upstream):
        """Forget slow responses and failures of a start that has recovered.

        Otherwise they keep requests away for seconds after it is able to take them.
        """
        self._loads.get(upstream).forget_answers()
        self._work_times.drop(upstream.start)

    def _judge_warm(self, upstream, is_good, work_ms, reason, now):
        """Count the slow responses of a warm start, and begin to ramp it up."""
        if is_good is False:
            if self._count_slow(upstream, work_ms, now):
                window = self._begin(upstream, reason, now)
                window.is_answered = True
                self._send_report(window, work_ms, now)
            else:
                self._report(upstream, None, work_ms, self._count_reported(now))
        elif self._is_young(now):
            count = self._usual_times.count_starts(upstream.service)
            start_count = YOUNG_REPORT_DIVISOR * max(1, count)
            self._report(upstream, None, work_ms, start_count)
        elif self._streaks.pop(upstream.start, None) is not None:
            self._report(upstream, None, work_ms, self._count_reported(now))

    def _count_slow(self, upstream, work_ms, now):
        """Count a slow response; return whether there are enough to ramp up."""
        streak = self._streaks.get(upstream.start)
        if streak is None or now - streak.at > STREAK_TTL_S:
            streak = self._streaks[upstream.start] = _Streak(0.0, now)
        usual_s = self._usual_times.get_s(upstream.service)
        ratio = SLOW_RATIO
        if usual_s and work_ms < BAD_WORK_MS:
            ratio = min(MAX_SLOW_RATIO, work_ms / 1000.0 / usual_s)
        streak.sum += ratio
        streak.at = now
        return streak.sum >= SLOW_SUM

    def _is_young(self, now):
        """Return whether this instance has restarted recently.

        All instances may have, and each know only the upstream of its own zone. They
        then report work times so that they know which are usual.
        """
        return now - self._first_listed_at < YOUNG_S

    def _apply_report_on_warm(self, upstream, size, work_ms, is_good, now):
        if size is None:
            if is_good:
                self._streaks.pop(upstream.start, None)
            elif is_good is False and self._count_slow(upstream, work_ms, now):
                self._begin(upstream, "slow", now).is_answered = True
            if is_good is not False and self._is_young(now):
                self._usual_times.record(upstream, work_ms / 1000.0)
        elif size < upstream.slots and (is_good is False or self._is_young(now)):
            window = self._begin(upstream, "reported", now, size)
            window.is_answered = work_ms is not None

    def _send_report(self, window, work_ms, now):
        if work_ms is not None:
            work_ms = round(work_ms, 1)
        size = round(window.size, 2)
        self._report(window.upstream, size, work_ms, self._count_reported(now))

    def _count_reported(self, now):
        """Return on how many starts instances report."""
        recent = [s for s in self._streaks.values() if now - s.at <= STREAK_TTL_S]
        return max(1, len(self._windows) + len(recent))

    def _get_rate(self, service):
        """Return this instance's requests per second for *service*."""
        return self._requests[service].get_rate()

    def _record_seen(self, window, previous_at, now):
        """Let the senders of a start that was not usable begin one after the other.

        *previous_at* is when this instance had a request before this one.
        """
        was_usable = window.seen_at >= previous_at
        if not was_usable and now - max(window.seen_at, window.tried_at) > SILENCE_S:
            window.tried_at = now - window.get_pause_s()
            window.reported_at = now
        window.seen_at = now

    def _is_due(self, window, is_repeatable, now):
        """Return whether this instance is to send a try now."""
        if not is_repeatable:
            return self._may_be_first(window, now)
        rate = self._get_rate(window.upstream.service)
        if self._is_alone(window, now):
            if window.alone_due_at is None:
                # Instances that were cut off together must not send together.
                pause_s = self._generator.uniform(0.0, 2.0 / (ALONE_SHARE * rate))
                window.alone_due_at = now + pause_s
            return now >= window.alone_due_at
        waited_s = now - window.get_due_at()
        if waited_s < 0.0:
            return False
        # The instance of the last try pauses, so that each learns of others' tries.
        if window.is_last_own and waited_s < FIRST_TRY_WAIT_S:
            return False
        count = 1 + math.ceil(1.0 / (FIRST_TRY_WAIT_S * rate))
        if waited_s > WIDEN_AFTER_S:
            factor = 2.0 ** min(20.0, (waited_s - WIDEN_AFTER_S) / WIDEN_DOUBLING_S)
            count *= factor if window.has_reports else min(MAX_SILENT_WIDENING, factor)
        return self._order.get_rank(window.upstream, now) < count

    def _may_be_first(self, window, now):
        """Return whether a request that may not be repeated may be sent as a try."""
        requests = self._requests[window.upstream.service]
        return (
            not window.is_answered
            and now - max(window.began_at, window.tried_at) > UNTRIED_S
            and now - requests.repeatable_at > REPEATABLE_TTL_S
        )

    def _is_alone(self, window, now):
        return self._order.has_peers() and now - window.reported_at > SILENCE_S

    def _has_room(self, window, now):
        """Return whether this instance is one of those that the window is shared by."""
        if window.is_trying:
            return False
        service = window.upstream.service
        in_flight = self._get_rate(service) * self._durations.get(service, 1.0)
        share = min(1.0, max(0.001, in_flight))
        if self._order.get_rank(window.upstream, now) * share >= window.size:
            return False
        own_in_flight = self._loads.get(window.upstream).in_flight
        return own_in_flight < max(1.0, window.size * share)

    def _draw(self, windows, is_repeatable):
        """Return one upstream if all ramp up, drawn by their windows."""
        upstreams = list(windows)
        if not is_repeatable:
            answered = [u for u in upstreams if windows[u].is_answered]
            upstreams = answered or upstreams
        weights = [windows[u].size for u in upstreams]
        return self._generator.choices(upstreams, weights)[0]

"""Whether a doubtful answer is dropped for a larger model's."""

from .._placement import PoolLoad, Work

KEPT_FOR_FAILURES = 1.0
"""Retries that larger models leave for requests that fail."""


class LargerChooser:
    """Puts what is known of an answer, the engines and the retry budget together."""

    def __init__(self, parts):
        self._parts = parts
        self._read_clock = parts.read_clock

    def choose(self, call, attempt):
        """Return the model to ask instead of delivering *attempt*, or None.

        The retry that it takes has then been paid for.
        """
        if not call.route.models or call.headers.model is not None:
            return None
        if len(call.sent_to) >= call.route.max_upstreams:
            return None
        service = call.configuration.services.get(call.service)
        upstreams = self._parts.view.list_upstreams(call.service)
        now = self._read_clock()
        call.confidence = attempt.note.confidence
        call.slowdown = self._parts.loads.measure_slowdown(upstreams, now)
        cascade = self._parts.cascade
        if not cascade.is_doubtful(call.route, call.model, call.confidence):
            return None
        larger = cascade.choose_next(
            call.route,
            service.engine if service else None,
            call.model,
            call.confidence,
            call.headers,
            self._measure_load(call, upstreams, now),
        )
        if larger is None:
            return None
        # Without budget for it the answer at hand must not be given up.
        budget = self._parts.budgets.get(call.service)
        call.paid_ahead = budget.take(now, keep=KEPT_FOR_FAILURES)
        if not call.paid_ahead:
            call.reasons.append("no budget for a larger model")
            return None
        return larger

    def _measure_load(self, call, upstreams, now):
        """Return the :class:`PoolLoad` that a run of the largest model would meet."""
        parts = self._parts
        work = Work(call.headers.prompt, call.route.models[-1])
        untried = [u for u in upstreams if u.start not in call.tried]
        allowed = parts.chooser.list_allowed(untried, now)
        upstream = parts.placer.pick(allowed, work, now)
        if upstream is None:
            return PoolLoad(call.slowdown, 0.0)
        estimate = parts.placer.estimate(upstream, work, now)
        gap_s = parts.gaps.get_base(work.model) * call.slowdown
        return PoolLoad(
            call.slowdown,
            estimate.reading_ms,
            estimate.queued_ms,
            writing_s=gap_s * parts.lengths.get(call.route.name),
            waited_s=now - call.arrived_at,
            left_s=call.measure_left(now),
        )

"""Policy for discarding a low-confidence response and escalating to a larger model."""

from .._placement import CascadeConditions, Feature, PlacementRequest

RESERVED_RETRIES = 1.0
"""Retries of the budget that are reserved for failed requests."""


class EscalationPolicy:
    """Decides whether to escalate, by confidence, load and retry budget."""

    def __init__(self, parts):
        self._parts = parts
        self._read_clock = parts.read_clock

    def choose_first(self, call, now):
        """Return the model for the first run of *call*.

        Without a retry left, a larger model can't be asked after the smallest one; it
        may be the better choice for the only run.
        """
        parts = self._parts
        smallest = parts.cascade.choose_first(call.route)
        if not parts.load_policy.is_on(Feature.MODELS, call.service, now):
            return smallest
        budget = parts.retry_budgets.get(call.service, now)
        if budget.can_acquire(now, self._get_min_remaining(call, now)):
            return smallest
        candidates = parts.chooser.list_candidates(call, now)
        if not candidates:
            return smallest
        call.slowdown = parts.loads.measure_slowdown(candidates, now)
        return parts.cascade.choose_only(
            call.route,
            self._get_engine(call),
            call.headers,
            parts.hard_shares.get(call.route.name),
            self._estimate_load(call, candidates, now),
        )

    def _get_min_remaining(self, call, now):
        """Return the retries to leave for failed requests.

        Where the fleet's unused retries are shared, they are left to these.
        """
        is_shared = self._parts.load_policy.is_on(Feature.MODELS, call.service, now)
        return 0.0 if is_shared else RESERVED_RETRIES

    def _get_engine(self, call):
        service = call.configuration.services.get(call.service)
        return service.engine if service else None

    def choose(self, call, attempt):
        """Return the model to escalate to, or None to deliver *attempt*.

        If a model is returned, its attempt has been taken from the retry budget.
        """
        if not call.route.models or call.headers.model is not None:
            return None
        if call.sends_left <= 0:
            return None
        now = self._read_clock()
        upstreams = self._parts.view.list_accepting(call.service, now)
        call.confidence = attempt.response_info.confidence
        call.slowdown = self._parts.loads.measure_slowdown(upstreams, now)
        cascade = self._parts.cascade
        if call.model == call.route.models[0] and call.confidence is not None:
            self._parts.hard_shares.record(call.route.name, call.confidence)
        if not cascade.can_improve(call.route, call.model, call.confidence):
            return None
        candidates = self._parts.chooser.list_candidates(call, now)
        if not candidates:
            return None
        larger_model = cascade.choose_next(
            call.route,
            self._get_engine(call),
            call.model,
            call.confidence,
            call.headers,
            self._estimate_load(call, candidates, now),
        )
        if larger_model is None:
            return None
        # The current response may only be discarded if the retry is certain.
        denial = self._parts.retry_reserver.try_reserve(
            call, min_remaining=self._get_min_remaining(call, now)
        )
        if denial is not None:
            call.reasons.append(f"larger model: {denial}")
            return None
        return larger_model

    def _estimate_load(self, call, candidates, now):
        """Return the :class:`CascadeConditions` for a run of the largest model.

        *candidates* are the upstreams that may get it.
        """
        parts = self._parts
        placement_request = PlacementRequest(call.headers.prompt, call.route.models[-1])
        upstream = parts.placer.pick(candidates, placement_request, now)
        estimate = parts.placer.estimate(upstream, placement_request, now)
        gap_s = parts.event_gaps.get_baseline(placement_request.model) * call.slowdown
        return CascadeConditions(
            call.slowdown,
            estimate.prefill_ms,
            estimate.queued_prefill_ms,
            decode_s=gap_s * parts.stream_lengths.get(call.route.name),
            waited_s=now - call.arrived_at,
            time_left_s=call.get_remaining_s(now),
        )

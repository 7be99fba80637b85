"""Selection of the cheapest plan that meets the quality target."""

import itertools

from .._errors import ErrorKind, RequestRefused
from .plan import Plan

RATING_DURATION_S = 0.05
MAX_DEADLINE_SHARE = 0.7
"""Fraction of the remaining time that a plan's expected duration may use."""

TOKENS_PER_COST_UNIT = 1000


class Planner:
    """Compares single versions and two-stage cascades of the models of a kind."""

    def __init__(self, catalogue, picker, quality_estimator, cascades=True):
        self._catalogue = catalogue
        self._picker = picker
        self._quality_estimator = quality_estimator
        self._cascades = cascades

    def plan(self, team, kind, session, salt, time_left_s, random_value):
        """Return the :class:`Plan` for one request.

        *salt* is hashed to distribute requests over versions; *random_value*, from 0
        to 1, decides whether to explore. Raises :class:`RequestRefused` if no version
        may run the request.
        """
        versions = self._list_versions(team, kind, session, salt)
        plans = self._list_plans(kind, versions)
        in_time = [p for p in plans if p.duration_s <= time_left_s * MAX_DEADLINE_SHARE]
        plans = in_time or [min(plans, key=lambda p: p.duration_s)]
        if random_value < kind.explore:
            return self._pick_least_rated(kind, plans)
        adequate = [p for p in plans if p.quality >= kind.quality_target]
        if adequate:
            return min(adequate, key=lambda p: (p.cost, p.duration_s))
        return max(plans, key=lambda p: p.quality)

    def _list_versions(self, team, kind, session, salt):
        pinned = session.get_pin(kind.models) if session else None
        if pinned:
            return [self._picker.check_pinned(team, pinned)]
        versions, refusals = [], []
        for name in kind.models:
            model = self._catalogue.models[name]
            try:
                versions.append(self._picker.pick(team, model, salt))
            except RequestRefused as refusal:
                refusals.append(refusal)
        if versions:
            return versions
        # Any other reason is more specific than that the team may not use a model.
        specific = [r for r in refusals if r.kind is not ErrorKind.NOT_ALLOWED]
        raise (specific or refusals)[0]

    def _list_plans(self, kind, versions):
        plans = [self._build_single_plan(kind, version) for version in versions]
        if not self._cascades:
            return plans
        for first, second in itertools.permutations(versions, 2):
            if self._estimate_cost(kind, first) < self._estimate_cost(kind, second):
                plans.append(self._build_cascade_plan(kind, first, second))
        return plans

    def _build_single_plan(self, kind, version):
        quality = self._estimate_quality(kind, version, kind.name)
        return Plan(
            (version,),
            self._estimate_cost(kind, version),
            quality.lower_bound,
            self._quality_estimator.get_duration_s(version.id, kind.name),
        )

    def _build_cascade_plan(self, kind, first, second):
        """Return a cascade plan; first answers that are accepted meet the target."""
        first_quality = self._estimate_quality(kind, first, kind.name)
        second_quality = self._estimate_quality(kind, second, kind.name)
        escalation_rate = 1 - first_quality.acceptance_rate
        quality = (
            first_quality.acceptance_rate * first_quality.accepted_mean
            + escalation_rate * second_quality.lower_bound
        )
        # The worst case, in which the request escalates, has to fit the deadline.
        duration_s = (
            self._quality_estimator.get_duration_s(first.id, kind.name)
            + RATING_DURATION_S
        )
        duration_s += self._quality_estimator.get_duration_s(second.id, kind.name)
        cost = self._estimate_cost(kind, first) + escalation_rate * self._estimate_cost(
            kind, second
        )
        return Plan((first, second), cost, quality, duration_s)

    def _pick_least_rated(self, kind, plans):
        def count_ratings(plan):
            return self._quality_estimator.get_rating_count(
                plan.stages[0].id, kind.name
            )

        single_plans = [p for p in plans if not p.is_cascade] or plans
        plan = min(single_plans, key=count_ratings)
        return Plan(plan.stages, plan.cost, plan.quality, plan.duration_s, True)

    def _estimate_quality(self, kind, version, kind_name):
        model = self._catalogue.models[version.model]
        return self._quality_estimator.estimate(
            version.id, kind_name, model, kind.quality_target
        )

    def _estimate_cost(self, kind, version):
        model = self._catalogue.models[version.model]
        tokens = self._quality_estimator.get_mean_tokens(kind.name)
        return model.cost_per_1k_tokens * tokens / TOKENS_PER_COST_UNIT

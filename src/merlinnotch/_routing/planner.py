"""Choosing the plan of least cost that meets the quality target."""

import itertools

from .._errors import ErrorKind, RequestRefused
from .plan import Plan

RATING_WAIT_S = 0.05
DEADLINE_SHARE = 0.7
"""Part of the time left that a plan's expected time may fill."""

TOKENS_PER_PRICE = 1000


class Planner:
    """Weighs single versions and two-stage cascades of a kind's models."""

    def __init__(self, catalogue, picker, book, cascades=True):
        self._catalogue = catalogue
        self._picker = picker
        self._book = book
        self._cascades = cascades

    def plan(self, team, kind, session, salt, time_left_s, chance):
        """Return the :class:`Plan` for one request.

        *salt* spreads requests over versions, *chance* is a random number
        from 0 to 1 that decides whether to explore. Raises
        :class:`RequestRefused` when no version may run it.
        """
        versions = self._list_versions(team, kind, session, salt)
        plans = self._list_plans(kind, versions)
        in_time = [p for p in plans if p.duration_s <= time_left_s * DEADLINE_SHARE]
        plans = in_time or [min(plans, key=lambda p: p.duration_s)]
        if chance < kind.explore:
            return self._pick_least_known(kind, plans)
        good = [p for p in plans if p.quality >= kind.quality_target]
        if good:
            return min(good, key=lambda p: (p.cost, p.duration_s))
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
        # Any other refusal says more than that some models are barred.
        telling = [r for r in refusals if r.kind is not ErrorKind.NOT_ALLOWED]
        raise (telling or refusals)[0]

    def _list_plans(self, kind, versions):
        plans = [self._weigh_single(kind, version) for version in versions]
        if not self._cascades:
            return plans
        for first, second in itertools.permutations(versions, 2):
            if self._price(kind, first) < self._price(kind, second):
                plans.append(self._weigh_cascade(kind, first, second))
        return plans

    def _weigh_single(self, kind, version):
        quality = self._estimate(kind, version, kind.name)
        return Plan(
            (version,),
            self._price(kind, version),
            quality.lower,
            self._book.get_duration_s(version.id, kind.name),
        )

    def _weigh_cascade(self, kind, first, second):
        """Weigh a cascade; what it accepts is judged, so meets the target."""
        cheap = self._estimate(kind, first, kind.name)
        better = self._estimate(kind, second, kind.name)
        escalate = 1 - cheap.accept
        quality = cheap.accept * cheap.accepted_mean + escalate * better.lower
        # An answer that has to escalate still has to come in time.
        duration = self._book.get_duration_s(first.id, kind.name) + RATING_WAIT_S
        duration += self._book.get_duration_s(second.id, kind.name)
        cost = self._price(kind, first) + escalate * self._price(kind, second)
        return Plan((first, second), cost, quality, duration)

    def _pick_least_known(self, kind, plans):
        def rated(plan):
            return self._book.get_rated(plan.stages[0].id, kind.name)

        single = [p for p in plans if not p.is_cascade] or plans
        plan = min(single, key=rated)
        return Plan(plan.stages, plan.cost, plan.quality, plan.duration_s, True)

    def _estimate(self, kind, version, kind_name):
        model = self._catalogue.models[version.model]
        return self._book.estimate(version.id, kind_name, model, kind.quality_target)

    def _price(self, kind, version):
        model = self._catalogue.models[version.model]
        tokens = self._book.get_tokens(kind.name)
        return model.cost_per_1k_tokens * tokens / TOKENS_PER_PRICE

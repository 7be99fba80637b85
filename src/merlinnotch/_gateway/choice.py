"""Selection of the service, version and upstream for an attempt."""

import random
from dataclasses import dataclass

from .._errors import ErrorKind, RequestRefused
from .._fleet import Upstream
from .._placement import PlacementRequest
from .._rate_limits import NO_PERMIT_NEEDED, Permit
from .._rollout import select_canaries
from .._slot_leases import NO_LEASE_NEEDED, SlotLease

UNREACHABLE_RETRY_AFTER_S = 4.0
"""Retry-After if no upstream is reachable. Network partitions last for seconds and most
callers retry once, so an early retry would be wasted."""


class UpstreamsUnreachable(RequestRefused):
    """This instance reaches none of the upstreams; peers may."""


@dataclass(frozen=True)
class Choice:
    """The selected upstream.

    *alternative_count* is how many other upstreams have not been tried. *is_urgent* is
    set if the request may go to no other one now. *permit* allows the request to a
    limited upstream, *lease* to one that is brittle. *connection* is an open connection
    to the upstream, or None.
    """

    upstream: Upstream
    alternative_count: int
    is_urgent: bool = False
    permit: Permit = NO_PERMIT_NEEDED
    lease: SlotLease = NO_LEASE_NEEDED
    connection: object | None = None


class UpstreamChooser:
    """Selects upstreams by route weights, rollout stage, rates and placement.

    *warm_up* limits the rate of requests to cold upstreams. *schedule*, a
    :class:`PermitSchedule`, tells when a permit for a limited one may be due;
    :class:`PermittedChooser` gets the permit. *ramp_up*, a :class:`RampUp` or None,
    selects among the upstreams that all of these allow.
    """

    def __init__(
        self,
        view,
        versions,
        placer,
        warm_up,
        schedule,
        generator=random,
        ramp_up=None,
    ):
        self._view = view
        self._versions = versions
        self._placer = placer
        self._warm_up = warm_up
        self._schedule = schedule
        self._generator = generator
        self._ramp_up = ramp_up

    def choose_service(self, call):
        """Return a service of the call's route, drawn by weight."""
        splits = call.route.splits
        if len(splits) == 1:
            return splits[0].service
        weights = [split.weight for split in splits]
        return self._generator.choices(splits, weights)[0].service

    def list_candidates(self, call, now):
        """Return the untried upstreams that may get a request of *call* at *now*."""
        accepting = self._view.list_accepting(call.service, now)
        return self._filter_by_rate(_list_untried(accepting, call.tried_starts), now)

    def choose_upstream(self, call, now, denied_starts=frozenset()):
        """Return the :class:`Choice` for the next attempt, without its permit.

        Upstreams of *denied_starts* are not chosen, as no permit is to be had. Raises
        :class:`RequestRefused` if no upstream can be selected, in particular
        :class:`UpstreamsUnreachable`.
        """
        accepting = self._view.list_accepting(call.service, now)
        self._check_reachable(call, accepting)
        untried = _list_untried(accepting, call.tried_starts)
        version_filters = self._choose_versions(call)
        for is_urgent in (False, True):
            allowed = self._filter_by_rate(untried, now, is_urgent)
            allowed = _list_untried(allowed, denied_starts)
            candidates = self._filter_by_version(call, version_filters, allowed, now)
            if candidates:
                count = len(untried) - 1
                return self._place(call, candidates, count, now, is_urgent)
        self._check_waits(call, version_filters, now)
        cold_count = sum(not self._warm_up.allows(u, now) for u in untried)
        if cold_count:
            detail = f"{cold_count} of {len(untried)} upstreams are cold"
            raise RequestRefused(ErrorKind.WARMING_UP, detail)
        raise RequestRefused(ErrorKind.NO_UPSTREAM, self._describe_upstreams(call, now))

    def choose_reachable(self, call, excluded_starts, now):
        """Return the :class:`Choice` of a reachable upstream, or None.

        Those of *excluded_starts* are not chosen.
        """
        accepting = self._view.list_accepting(call.service, now)
        untried = _list_untried(accepting, call.tried_starts | excluded_starts)
        reachable = self._placer.list_reachable(untried)
        allowed = self._filter_by_rate(reachable, now)
        version_filters = self._choose_versions(call)
        candidates = self._filter_by_version(call, version_filters, allowed, now)
        if not candidates:
            return None
        return self._place(call, candidates, len(untried) - 1, now)

    def has_reachable(self, call, excluded_starts, now):
        """Return whether an upstream of the service is reachable.

        Those of *excluded_starts* don't count.
        """
        accepting = self._view.list_accepting(call.service, now)
        return bool(
            self._placer.list_reachable(_list_untried(accepting, excluded_starts))
        )

    def _place(self, call, candidates, alternative_count, now, is_urgent=False):
        placement_request = PlacementRequest(call.headers.prompt, call.model)
        ramped_up = self._filter_by_ramp_up(call, candidates, now)
        upstream = self._placer.pick(ramped_up, placement_request, now)
        is_urgent = is_urgent or len(candidates) == 1
        return Choice(upstream, alternative_count, is_urgent)

    def record_sent(self, upstream, now):
        """Record that a choice of *upstream* is used."""
        self._warm_up.record_sent(upstream, now)
        if self._ramp_up is not None:
            self._ramp_up.record_sent(upstream, now)

    def _filter_by_ramp_up(self, call, candidates, now):
        """Return the reachable ones of *candidates* that ramp-up allows, at least one.

        A request may be repeated if another upstream may get it after this one.
        """
        if self._ramp_up is None:
            return candidates
        reachable = self._placer.list_reachable(candidates) or candidates
        is_repeatable = call.is_retryable and call.sends_left > 1
        return self._ramp_up.select(reachable, is_repeatable, now)

    def _choose_versions(self, call):
        rollout = self._view.get_rollout(call.service)
        return self._versions.choose(call.service, rollout, call.headers.session)

    def _filter_by_version(self, call, version_filters, allowed, now):
        """Return those of *allowed* that have the first available version."""
        rollout = self._view.get_rollout(call.service)
        for accepts_version in version_filters:
            candidates = [u for u in allowed if accepts_version(u.version)]
            candidates = self._restrict_to_canaries(candidates, call, rollout, now)
            if candidates:
                return candidates
        return []

    def _filter_by_rate(self, upstreams, now, is_urgent=False):
        """Return those of *upstreams* that neither warm-up nor a limit rules out.

        *is_urgent* is set if no other upstream is left.
        """
        return [
            u
            for u in upstreams
            if self._warm_up.allows(u, now)
            and self._schedule.get_wait_s(u.start, now, is_urgent) <= 0.0
        ]

    def _check_reachable(self, call, accepting):
        """Raise :class:`RequestRefused` if no upstream can be used at all.

        This is so if the service is evacuated or none of *accepting* is reachable.
        """
        if not accepting and self._view.is_service_evacuated(call.service):
            raise RequestRefused(ErrorKind.EVACUATED)
        if accepting and not self._placer.list_reachable(accepting):
            # Each further attempt would wait for a connection timeout.
            raise UpstreamsUnreachable(
                ErrorKind.NO_UPSTREAM,
                f"none of {len(accepting)} upstreams reachable",
                retry_after_s=UNREACHABLE_RETRY_AFTER_S,
            )

    def _check_waits(self, call, version_filters, now):
        """Raise :class:`RequestRefused` if all upstreams of the versions have to wait.

        They rest or their limits leave no request now. Leaving ones don't count, as
        they won't take requests afterwards.
        """
        usable = [
            u
            for u in self._view.list_staying(call.service, now)
            if any(accepts_version(u.version) for accepts_version in version_filters)
        ]
        rests_s = [self._view.notices.get_rest_s(u.start, now) for u in usable]
        waits_s = [
            max(rest_s, self._schedule.get_wait_s(u.start, now, is_urgent=True))
            for u, rest_s in zip(usable, rests_s, strict=True)
        ]
        if not waits_s or min(waits_s) <= 0.0:
            return
        listed = self._describe_upstreams(call, now)
        if min(rests_s) > 0.0:
            raise RequestRefused(
                ErrorKind.UPSTREAMS_RESTING,
                f"{len(usable)} upstreams rest, {listed}",
                retry_after_s=min(waits_s),
            )
        raise RequestRefused(
            ErrorKind.UPSTREAMS_LIMITED,
            f"{len(usable)} upstreams rest or are limited, {listed}",
            retry_after_s=self._plan_return(usable, rests_s, now),
        )

    def _plan_return(self, upstreams, rests_s, now):
        """Return in how many seconds a refused caller should return.

        One of *upstreams* may then have a permit for it.
        """
        returns_s = [
            max(rest_s, self._schedule.get_return_s(u.start, now))
            for u, rest_s in zip(upstreams, rests_s, strict=True)
        ]
        return_s = min(returns_s)
        first = upstreams[returns_s.index(return_s)]
        self._schedule.record_refused(first.start, return_s, now)
        return return_s

    def _describe_upstreams(self, call, now):
        listed = self._view.list_upstreams(call.service)
        leaving_count = self._view.count_leaving(call.service, now)
        detail = f"{len(listed)} upstreams listed, {len(call.tried_starts)} tried"
        return f"{detail}, {leaving_count} leave" if leaving_count else detail

    def _restrict_to_canaries(self, candidates, call, rollout, now):
        """Return *candidates* without upstreams outside the current rollout stage.

        While the target version receives part of the traffic, only its canary upstreams
        are used. Resting upstreams remain canaries, as only this instance may know that
        they rest; requests go to the other canaries or to another version meanwhile.
        Sessions stay on their version even if no canary is left, and so do requests if
        no other version is listed.
        """
        stage = rollout.current_stage
        if stage is None or stage.has_all_traffic or not rollout.is_active:
            return candidates
        target_version = rollout.order.target
        if not any(u.version == target_version for u in candidates):
            return candidates
        staying = self._view.list_staying(call.service, now)
        on_target = [u for u in staying if u.version == target_version]
        canaries = select_canaries(on_target, call.service, stage.canaries)
        usable = [u for u in self._placer.list_reachable(candidates) if u in canaries]
        keeps_version = call.headers.session is not None or len(on_target) == len(
            staying
        )
        return candidates if keeps_version and not usable else usable


def _list_untried(upstreams, tried_starts):
    return [u for u in upstreams if u.start not in tried_starts]

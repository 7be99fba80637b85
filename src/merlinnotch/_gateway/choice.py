"""Selection of the service, version and upstream for an attempt."""

import random
from dataclasses import dataclass

from .._errors import ErrorKind, RequestRefused
from .._fleet import Upstream
from .._placement import PlacementRequest
from .._rollout import select_canaries

UNREACHABLE_RETRY_AFTER_S = 4.0
"""Retry-After if no upstream is reachable. Network partitions last for seconds and most
callers retry once, so an early retry would be wasted."""


@dataclass(frozen=True)
class Choice:
    """The selected upstream.

    *alternative_count* is how many other upstreams have not been tried. *connection* is
    an open connection to the upstream, or None.
    """

    upstream: Upstream
    alternative_count: int
    connection: object | None = None


class UpstreamChooser:
    """Selects upstreams by route weights, rollout stage, warm-up and placement."""

    def __init__(self, view, versions, placer, warm_up, generator=random):
        self._view = view
        self._versions = versions
        self._placer = placer
        self._warm_up = warm_up
        self._generator = generator

    def choose_service(self, call):
        """Return a service of the call's route, drawn by weight."""
        splits = call.route.splits
        if len(splits) == 1:
            return splits[0].service
        weights = [split.weight for split in splits]
        return self._generator.choices(splits, weights)[0].service

    def filter_by_warm_up(self, upstreams, now):
        """Return those of *upstreams* that are warm, or cold but allowed a request."""
        return [u for u in upstreams if self._warm_up.allows(u, now)]

    def choose_upstream(self, call, now):
        """Return the :class:`Choice` for the next attempt.

        Raises :class:`RequestRefused` if no upstream can be selected.
        """
        listed = self._view.list_upstreams(call.service)
        self._check_reachable(call, listed)
        untried = [u for u in listed if u.start not in call.tried_starts]
        allowed = self.filter_by_warm_up(untried, now)
        candidates = self._list_candidates(call, listed, allowed)
        if candidates:
            return self._place(call, candidates, len(untried) - 1, now)
        if len(allowed) < len(untried):
            detail = (
                f"{len(untried) - len(allowed)} of {len(untried)} upstreams are cold"
            )
            raise RequestRefused(ErrorKind.WARMING_UP, detail)
        detail = f"{len(listed)} upstreams listed, {len(call.tried_starts)} tried"
        raise RequestRefused(ErrorKind.NO_UPSTREAM, detail)

    def choose_reachable(self, call, excluded_starts, now):
        """Return the :class:`Choice` of a reachable upstream, or None.

        Those of *excluded_starts* are not chosen.
        """
        listed = self._view.list_upstreams(call.service)
        excluded = call.tried_starts | excluded_starts
        untried = [u for u in listed if u.start not in excluded]
        reachable = self._placer.list_reachable(untried)
        allowed = self.filter_by_warm_up(reachable, now)
        candidates = self._list_candidates(call, listed, allowed)
        if not candidates:
            return None
        return self._place(call, candidates, len(untried) - 1, now)

    def _place(self, call, candidates, alternative_count, now):
        placement_request = PlacementRequest(call.headers.prompt, call.model)
        upstream = self._placer.pick(candidates, placement_request, now)
        self._warm_up.record_sent(upstream, now)
        return Choice(upstream, alternative_count)

    def _list_candidates(self, call, listed, allowed):
        """Return those of *allowed* that have a version for *call*.

        The version is drawn by the rollout's stage, or is that of the call's session.
        """
        rollout = self._view.get_rollout(call.service)
        version_filters = self._versions.choose(
            call.service, rollout, call.headers.session
        )
        for accepts_version in version_filters:
            candidates = [u for u in allowed if accepts_version(u.version)]
            candidates = self._restrict_to_canaries(candidates, listed, call, rollout)
            if candidates:
                return candidates
        return []

    def _check_reachable(self, call, listed):
        """Raise :class:`RequestRefused` if no upstream can be used at all.

        This is so if the service is evacuated or none of *listed* is reachable.
        """
        if not listed and self._view.is_service_evacuated(call.service):
            raise RequestRefused(ErrorKind.EVACUATED)
        if listed and not self._placer.list_reachable(listed):
            # Each further attempt would wait for a connection timeout.
            raise RequestRefused(
                ErrorKind.NO_UPSTREAM,
                f"none of {len(listed)} upstreams reachable",
                retry_after_s=UNREACHABLE_RETRY_AFTER_S,
            )

    def _restrict_to_canaries(self, candidates, listed, call, rollout):
        """Return *candidates* without upstreams outside the current rollout stage.

        While the target version receives part of the traffic, only its canary upstreams
        are used. Sessions stay on their version even if no canary is left, and so do
        requests if no other version is listed.
        """
        stage = rollout.current_stage
        if stage is None or stage.has_all_traffic or not rollout.is_active:
            return candidates
        target_version = rollout.order.target
        if not any(u.version == target_version for u in candidates):
            return candidates
        on_target = [u for u in listed if u.version == target_version]
        canaries = select_canaries(on_target, call.service, stage.canaries)
        usable = [u for u in self._placer.list_reachable(candidates) if u in canaries]
        keeps_version = call.headers.session is not None or len(on_target) == len(
            listed
        )
        return candidates if keeps_version and not usable else usable

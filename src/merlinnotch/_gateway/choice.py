"""Choosing service, version and upstream for the next send of a call."""

import random
from dataclasses import dataclass

from .._errors import ErrorKind, RequestRefused
from .._fleet import Upstream
from .._placement import Work
from .._rollout import select_canaries

CUT_RETRY_S = 4.0
"""Time to come back where no upstream can be connected to. Cuts between zones last
for seconds, and most callers come back once: told to come at once, they would use
up their one retry during the cut."""


@dataclass(frozen=True)
class Choice:
    """The upstream for a send; *others* are left to try after it."""

    upstream: Upstream
    others: int


class UpstreamChooser:
    """Puts the decisions of splits, roll-outs and placement together."""

    def __init__(self, view, versions, placer, warm_up, generator=random):
        self._view = view
        self._versions = versions
        self._placer = placer
        self._warm_up = warm_up
        self._generator = generator

    def choose_service(self, call):
        """Return one service of the call's route, by weight."""
        splits = call.route.splits
        if len(splits) == 1:
            return splits[0].service
        weights = [split.weight for split in splits]
        return self._generator.choices(splits, weights)[0].service

    def list_allowed(self, upstreams, now):
        """Return those of *upstreams* that are warm, or cold and due a request."""
        return [u for u in upstreams if self._warm_up.allows(u, now)]

    def choose_upstream(self, call, now):
        """Return the :class:`Choice` for the next send.

        Raises :class:`RequestRefused` where there is none left.
        """
        listed = self._view.list_upstreams(call.service)
        self._check_reachable(call, listed)
        untried = [u for u in listed if u.start not in call.tried]
        allowed = self.list_allowed(untried, now)
        rollout = self._view.get_rollout(call.service)
        accepts = self._versions.choose(call.service, rollout, call.headers.session)
        work = Work(call.headers.prompt, call.model)
        for accept in accepts:
            candidates = [u for u in allowed if accept(u.version)]
            candidates = self._narrow(candidates, listed, call, rollout)
            if candidates:
                upstream = self._placer.pick(candidates, work, now)
                self._warm_up.take(upstream, now)
                return Choice(upstream, len(untried) - 1)
        if len(allowed) < len(untried):
            detail = f"{len(untried) - len(allowed)} of {len(untried)} cold"
            raise RequestRefused(ErrorKind.WARMING_UP, detail)
        detail = f"{len(listed)} listed, {len(call.tried)} tried"
        raise RequestRefused(ErrorKind.NO_UPSTREAM, detail)

    def _check_reachable(self, call, listed):
        """Refuse at once where nothing that is *listed* can be reached."""
        if not listed and self._view.is_service_evacuated(call.service):
            raise RequestRefused(ErrorKind.EVACUATED)
        if listed and not self._placer.list_reachable(listed):
            # Trying them all once more would take a quarter second each.
            raise RequestRefused(
                ErrorKind.NO_UPSTREAM,
                f"none of {len(listed)} reachable",
                retry_after_s=CUT_RETRY_S,
            )

    def _narrow(self, candidates, listed, call, rollout):
        """Leave the canaries of *candidates* while their version gets a small share.

        A session stays with its version, whichever of its upstreams are left. So does
        a request where no other version is listed.
        """
        stage = rollout.current_stage
        if stage is None or stage.takes_all or not rollout.is_active:
            return candidates
        target = rollout.order.target
        if not any(u.version == target for u in candidates):
            return candidates
        group = [u for u in listed if u.version == target]
        canaries = select_canaries(group, call.service, stage.canaries)
        left = [u for u in self._placer.list_reachable(candidates) if u in canaries]
        stays = call.headers.session is not None or len(group) == len(listed)
        return candidates if stays and not left else left

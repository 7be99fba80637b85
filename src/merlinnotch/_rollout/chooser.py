"""Choice between the old and the new version of a service for each request."""

import random

from .._fleet import RolloutState
from .sessions import place_session
from .stages import SESSION_STAGE


class VersionChooser:
    """Splits the traffic of a service between its old and its new version.

    Sessions are placed by a hash of their name, which is the same on every instance.
    Shares only grow during a rollout, so a session that has moved to the new version
    stays there. Sessions move in :data:`SESSION_STAGE` at the earliest.

    For requests without a session, an accumulated sum of shares replaces a random draw
    for each request: the new version then gets its share of the fleet's traffic and at
    most one extra request per instance. The sum starts at a random value so that the
    instances don't send their first requests at the same time.
    """

    def __init__(self, generator=random):
        self._generator = generator
        self._accumulated_shares = {}

    def choose(self, service, rollout, session):
        """Return predicates on versions, in the order of preference.

        Upstreams whose version satisfies an earlier predicate are preferred. Upstreams
        whose version satisfies none get no request.
        """
        state = rollout.state
        if state is None:
            return [lambda version: version not in rollout.bad_versions]
        target = rollout.order.target
        if state is RolloutState.COMPLETE:
            return [lambda version: version == target, lambda version: True]
        other_versions = [lambda version: version != target]
        if state is RolloutState.REVERTED or target in rollout.bad_versions:
            return other_versions
        if self._prefers_target(service, rollout, session):
            return [lambda version: version == target, *other_versions]
        if self._is_all_moved(rollout):
            # Old upstreams may already be stopping; fall back to the new ones.
            return [*other_versions, lambda version: version == target]
        return other_versions

    def _prefers_target(self, service, rollout, session):
        stage = rollout.current_stage
        if stage is None:
            return False
        if stage.has_all_traffic:
            return True
        if session is None:
            return self._accumulate_share(service, stage.share)
        if stage.number < SESSION_STAGE:
            return False
        return place_session(session) < stage.share

    def _accumulate_share(self, service, share):
        accumulated = self._accumulated_shares.get(service)
        if accumulated is None:
            accumulated = self._generator.random()
        accumulated += share
        selected = accumulated >= 1.0
        self._accumulated_shares[service] = (
            accumulated - 1.0 if selected else accumulated
        )
        return selected

    def _is_all_moved(self, rollout):
        stage = rollout.current_stage
        return stage is not None and stage.has_all_traffic

"""Which version of a service a request goes to."""

import random

from .._fleet import RolloutState
from .sessions import place_session
from .stages import SESSION_STAGE


class VersionChooser:
    """Splits the traffic of a service between its old and its new version.

    Sessions are placed by a hash of their name, the same on every instance, and
    shares only grow, so that a session that is once on the new version stays
    there. No session moves before the stage for sessions. For requests
    without a session the share is kept exactly by a running sum, not by chance:
    the exposure of a fleet is then the share of its traffic and at most one
    request more for each instance. The sum starts at a random point so that
    the instances do not send their first requests together.
    """

    def __init__(self, generator=random):
        self._generator = generator
        self._sums = {}

    def choose(self, service, rollout, session):
        """Return a predicate on versions, in the order of preference.

        The result is a list of functions; an upstream that the first one
        accepts is preferred, one that none accepts gets no work.
        """
        state = rollout.state
        if state is None:
            return [lambda version: version not in rollout.bad_versions]
        target = rollout.order.target
        if state is RolloutState.COMPLETE:
            return [lambda version: version == target, lambda version: True]
        old = [lambda version: version != target]
        if state is RolloutState.REVERTED or target in rollout.bad_versions:
            return old
        if self._wants_new(service, rollout, session):
            return [lambda version: version == target, *old]
        if self._is_settled(rollout):
            # The old upstreams may be stopping: what is left takes the rest.
            return [*old, lambda version: version == target]
        return old

    def _wants_new(self, service, rollout, session):
        stage = rollout.current_stage
        if stage is None:
            return False
        if stage.takes_all:
            return True
        if session is None:
            return self._take_turn(service, stage.share)
        if stage.number < SESSION_STAGE:
            return False
        return place_session(session) < stage.share

    def _take_turn(self, service, share):
        total = self._sums.get(service)
        if total is None:
            total = self._generator.random()
        total += share
        wants = total >= 1.0
        self._sums[service] = total - 1.0 if wants else total
        return wants

    def _is_settled(self, rollout):
        stage = rollout.current_stage
        return stage is not None and stage.takes_all

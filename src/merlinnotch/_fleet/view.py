"""The fleet as one instance sees it, kept up to date by differences."""

import logging
from dataclasses import dataclass, field

from .._errors import ConfigurationInvalid
from .configuration import Configuration
from .facts import PeerAddress
from .rollout import RolloutOrder, RolloutState, RolloutStatus, Stage
from .upstream import Upstream

logger = logging.getLogger("merlinnotch")

LAPSED_KEEP_S = 2.0
"""How long an entry that lapsed while the store was away may take to come back
after its return; the platform's word for living upstreams that reach it."""


@dataclass
class ServiceRollout:
    """All that is known of one service's roll-out.

    *seen_at* is when this instance saw the order or the stage, whichever tells
    the greater age; *age_at_sight_s* is how old the order was then.
    """

    order: RolloutOrder | None = None
    status: RolloutStatus | None = None
    stage: Stage | None = None
    seen_at: float = 0.0
    age_at_sight_s: float = 0.0
    bad_versions: set[str] = field(default_factory=set)

    @property
    def state(self):
        """The :class:`RolloutState` of the order in force, None without one."""
        if self.order is None:
            return None
        status = self.status
        if status is None or status.index < self.order.index:
            return RolloutState.ACTIVE
        if status.target != self.order.target:
            return RolloutState.ACTIVE
        return status.state

    @property
    def current_stage(self):
        """The stage written for the order in force, or None."""
        if self.order is None or self.stage is None:
            return None
        return self.stage if self.stage.order_index == self.order.index else None

    def measure_age(self, now):
        """Return how long the order has stood, in seconds."""
        return self.age_at_sight_s + now - self.seen_at

    def raise_age(self, age_s, now):
        """Take from whoever saw the order sooner how long it has stood."""
        if self.order is not None and age_s > self.measure_age(now):
            self.seen_at = now
            self.age_at_sight_s = age_s


class FleetView:
    """Turns differences of the mirror into declarations, upstreams, roll-outs.

    *decode* maps (key, value, index) to a fact. A configuration that does not
    decode leaves the one before in force. *on_upstream_gone* is called with
    the id of each upstream that left for good.
    """

    def __init__(self, decode, on_upstream_gone=lambda upstream_id: None):
        self._decode = decode
        self._on_upstream_gone = on_upstream_gone
        self._facts = {}
        self._upstreams = {}
        self._lapsed = {}
        self._rollouts = {}
        self.configuration = None
        self.peers = {}
        self._present_peers = set()
        self.rejected = 0

    def apply(self, differences, now, store_was_away=False):
        """Take *differences* that were seen at *now*.

        With *store_was_away* the store has just come back: entries that lapsed
        meanwhile get time to return.
        """
        for difference in differences:
            if difference.item is None:
                self._forget(difference.key, now, store_was_away)
            else:
                self._take(difference.item, now)

    def list_upstreams(self, service):
        """Return the upstreams of *service* that may get new work."""
        return [u for u in self._upstreams.get(service, {}).values() if not u.draining]

    def find_upstream(self, upstream_id):
        """Return the upstream with this id, draining or not, or None."""
        for group in self._upstreams.values():
            if upstream_id in group:
                return group[upstream_id]
        return None

    def get_rollout(self, service):
        """Return the :class:`ServiceRollout` of *service*."""
        return self._rollouts.setdefault(service, ServiceRollout())

    def list_active_rollouts(self):
        """Return (service, rollout) pairs of orders that are not done."""
        return [
            (service, rollout)
            for service, rollout in self._rollouts.items()
            if rollout.state is RolloutState.ACTIVE
        ]

    def list_present_peers(self):
        """Return the peers whose leases stand, as far as is known."""
        return [self.peers[name] for name in self._present_peers]

    def drop_lapsed(self, now):
        """Give up on lapsed entries whose time to return has passed."""
        for key, (upstream, until) in list(self._lapsed.items()):
            if now >= until:
                del self._lapsed[key]
                self._remove_upstream(upstream, "lapsed")

    @property
    def is_ready(self):
        """Whether requests can be served from what is known."""
        return self.configuration is not None and bool(self._upstreams)

    def _take(self, item, now):
        try:
            fact = self._decode(item.key, item.value, item.modify_index)
        except (ConfigurationInvalid, ValueError) as error:
            self.rejected += 1
            fields = {"key": item.key, "index": item.modify_index, "fault": str(error)}
            logger.error("document rejected", extra=fields)
            return
        if fact is None:
            return
        if isinstance(fact, Upstream):
            self._lapsed.pop(item.key, None)
            self._add_upstream(fact)
        elif isinstance(fact, Configuration):
            self._set_configuration(fact, item.modify_index)
        elif isinstance(fact, PeerAddress):
            self.peers[fact.name] = fact
            self._present_peers.add(fact.name)
        else:
            self._note_rollout(fact, now)
        self._facts[item.key] = fact

    def _forget(self, key, now, store_was_away):
        fact = self._facts.pop(key, None)
        if isinstance(fact, Upstream):
            if store_was_away:
                self._lapsed[key] = (fact, now + LAPSED_KEEP_S)
                logger.info("upstream lapsed", extra={"upstream": fact.id})
            else:
                self._remove_upstream(fact, "removed")
        elif isinstance(fact, RolloutOrder):
            self.get_rollout(fact.service).order = None
        elif isinstance(fact, PeerAddress):
            self._present_peers.discard(fact.name)
        # The last configuration and the addresses of peers stay in use: both
        # are only ever replaced, and a wrong address costs one failed call.

    def _add_upstream(self, upstream):
        group = self._upstreams.setdefault(upstream.service, {})
        known = group.get(upstream.id)
        group[upstream.id] = upstream
        if known is None or known.draining != upstream.draining:
            fields = {
                "upstream": upstream.id,
                "service": upstream.service,
                "version": upstream.version,
                "draining": upstream.draining,
            }
            logger.info("upstream listed", extra=fields)

    def _remove_upstream(self, upstream, reason):
        group = self._upstreams.get(upstream.service, {})
        if group.pop(upstream.id, None) is not None:
            fields = {"upstream": upstream.id, "reason": reason}
            logger.info("upstream gone", extra=fields)
            self._on_upstream_gone(upstream.id)

    def _set_configuration(self, configuration, index):
        known = self.configuration
        if known is not None and known.version >= configuration.version:
            logger.warning(
                "older configuration ignored", extra={"version": configuration.version}
            )
            return
        self.configuration = configuration
        fields = {"version": configuration.version, "index": index}
        logger.info("configuration in force", extra=fields)

    def _note_rollout(self, fact, now):
        rollout = self.get_rollout(fact.service)
        if isinstance(fact, RolloutOrder):
            rollout.order = fact
            rollout.seen_at = now
            stage = rollout.current_stage
            rollout.age_at_sight_s = stage.age_s if stage is not None else 0.0
            rollout.bad_versions.discard(fact.target)
        elif isinstance(fact, Stage):
            rollout.stage = fact
            if rollout.current_stage is not None:
                rollout.raise_age(fact.age_s, now)
        elif isinstance(fact, RolloutStatus):
            rollout.status = fact
            if fact.state is RolloutState.REVERTED:
                rollout.bad_versions.add(fact.target)
        logger.info("roll-out changed", extra=_describe(rollout, fact))


def _describe(rollout, fact):
    stage = rollout.current_stage
    return {
        "service": fact.service,
        "target": rollout.order.target if rollout.order else None,
        "state": str(rollout.state),
        "share": stage.share if stage else 0.0,
        "index": fact.index,
    }

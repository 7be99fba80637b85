"""The fleet as one instance sees it, kept up to date by differences."""

import collections
import logging
import math

from .._errors import ConfigurationInvalid
from .._poison.blocked import BlockList
from .cold import ColdBook
from .configuration import Configuration
from .evacuations import EvacuatedZones
from .facts import BlockedRequest, Evacuation, PeerAddress
from .peers import PeerBook
from .rollout import RolloutOrder, RolloutState
from .service_rollout import ServiceRollout
from .upstream import Upstream

logger = logging.getLogger("merlinnotch")

LAPSED_KEEP_S = 2.0
"""How long an entry that lapsed while the store was away may take to come back
after the store's return; the platform's word for living upstreams that reach it."""
LAST_SEND_S = 0.2
"""Kept of the time within which leaving upstreams may get new work: a deletion may
also be a departure, and a request that is placed at the last moment takes a few
milliseconds to arrive, over a lossy link 200 ms more."""
MOST_ENDED = 4096
"""Ended starts that are remembered, some 100 bytes each; of 2,200 upstreams that is
what six days of 670 restarts bring."""


class FleetView:
    """Turns differences of the mirror into declarations, upstreams, roll-outs.

    *decode* maps (key, value, index) to a fact. A configuration that does not
    decode leaves the one before in force; an upstream's entry that does not names
    no upstream. *on_upstream_gone* is called with each :class:`Upstream` that left
    for good, *on_upstream_restarted* with the one that was before a new start
    under its id. Leaving upstreams may get no new work after *in_force_s*.
    """

    def __init__(
        self,
        decode,
        on_upstream_gone=lambda upstream: None,
        on_upstream_restarted=lambda upstream: None,
        in_force_s=math.inf,
    ):
        self._decode = decode
        self._on_upstream_gone = on_upstream_gone
        self._on_upstream_restarted = on_upstream_restarted
        self._lapse_keep_s = in_force_s - LAST_SEND_S
        self._facts = {}
        self._ended = collections.OrderedDict()
        self._upstreams = {}
        self._lapsed = {}
        self._rollouts = {}
        self.configuration = None
        self.peer_book = PeerBook()
        self.peers = self.peer_book.known
        self.blocked = BlockList()
        self._evacuated = EvacuatedZones()
        self.cold = ColdBook()
        self.rejected = 0

    def apply(self, differences, now, returned_at=None):
        """Take *differences* that were seen at *now*.

        With *returned_at* the store came back just then: entries that lapsed
        meanwhile get time to return, counted from its return.
        """
        for difference in differences:
            if difference.item is None:
                self._forget(difference.key, now, returned_at)
            else:
                self._take(difference.item, now)

    def list_upstreams(self, service):
        """Return the upstreams of *service* that may get new work."""
        return [
            u
            for u in self._upstreams.get(service, {}).values()
            if not u.draining and not self.is_zone_evacuated(u.zone)
        ]

    def list_evacuated_zones(self):
        """Return the names of the zones whose upstreams are to get no new work."""
        return self._evacuated.list_names()

    def is_zone_evacuated(self, zone):
        """Return whether the upstreams of *zone* are to get nothing."""
        return zone in self._evacuated

    def is_service_evacuated(self, service):
        """Return whether *service* has upstreams, all of them in evacuated zones."""
        group = self._upstreams.get(service, {}).values()
        return bool(group) and all(self.is_zone_evacuated(u.zone) for u in group)

    def find_upstream(self, upstream_id):
        """Return the upstream with this id, draining or not, or None."""
        for group in self._upstreams.values():
            if upstream_id in group:
                return group[upstream_id]
        return None

    def find_start(self, start):
        """Return the upstream of this :class:`UpstreamStart`, or None."""
        upstream = self.find_upstream(start.id)
        return upstream if upstream is not None and upstream.start == start else None

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
        return self.peer_book.list_present()

    def get_cold_rate(self, service):
        """Return how many requests a second a cold upstream of *service* tolerates.

        0 where that is not bounded.
        """
        declared = self._find_service(service)
        return declared.cold_per_s if declared else 0.0

    def drop_lapsed(self, now):
        """Give up on lapsed entries whose time to return has passed.

        Return the seconds until this is due again, None where nothing waits.
        """
        for key, (upstream, until) in list(self._lapsed.items()):
            if now >= until:
                del self._lapsed[key]
                self._remove_upstream(upstream, "lapsed")
        ends = [until for _, until in self._lapsed.values()]
        return min(ends) - now if ends else None

    @property
    def is_ready(self):
        """Whether requests can be served from what is known."""
        if self.configuration is None:
            return False
        services = self.configuration.services
        return any(self._upstreams.get(service) for service in services)

    def _take(self, item, now):
        try:
            fact = self._decode(item.key, item.value, item.modify_index)
        except (ConfigurationInvalid, ValueError) as error:
            self.rejected += 1
            fields = {"key": item.key, "index": item.modify_index, "fault": str(error)}
            logger.error("document rejected", extra=fields)
            self._forget_unreadable(item.key)
            return
        if fact is None:
            return
        if isinstance(fact, Upstream):
            if not self._take_upstream(item.key, fact, now):
                return
        elif isinstance(fact, Configuration):
            self._set_configuration(fact, item.modify_index)
        elif isinstance(fact, PeerAddress):
            self.peer_book.note(fact)
        elif isinstance(fact, BlockedRequest):
            self.blocked.add(fact.fingerprint, now)
            self.blocked.note_kept(fact.fingerprint)
        elif isinstance(fact, Evacuation):
            self._evacuate(fact)
        else:
            self._note_rollout(fact, now)
        self._facts[item.key] = fact

    def _forget_unreadable(self, key):
        """Use an upstream no longer whose entry has become another writer's."""
        if isinstance(self._facts.get(key), Upstream):
            self._remove_upstream(self._facts.pop(key), "entry rejected")

    def _forget(self, key, now, returned_at):
        fact = self._facts.pop(key, None)
        if isinstance(fact, Upstream):
            if returned_at is None:
                self._remove_upstream(fact, "removed")
            else:
                self._keep_lapsed(key, fact, now, returned_at)
        elif isinstance(fact, RolloutOrder):
            self.get_rollout(fact.service).order = None
        elif isinstance(fact, PeerAddress):
            self.peer_book.lose(fact.name, now)
        elif isinstance(fact, BlockedRequest):
            self.blocked.remove(fact.fingerprint)
        elif isinstance(fact, Evacuation):
            self._take_back(fact, now)
        # The last configuration stays in use: it is only ever replaced.

    def _keep_lapsed(self, key, upstream, now, returned_at):
        """Go on using an upstream that may have lapsed, until it is surely gone."""
        until = min(returned_at + LAPSED_KEEP_S, now + self._lapse_keep_s)
        self._lapsed[key] = (upstream, until)
        fields = {"upstream": upstream.id, "kept_s": round(until - now, 2)}
        logger.info("upstream lapsed", extra=fields)

    def _take_upstream(self, key, upstream, now):
        """Take an upstream's entry; return whether it says something new."""
        if upstream.start in self._ended:
            fields = {"upstream": upstream.id, "born_ms": upstream.born_ms}
            logger.info("word of an ended start ignored", extra=fields)
            return False
        lapsed, _ = self._lapsed.pop(key, (None, 0.0))
        before = self._facts.get(key, lapsed)
        if isinstance(before, Upstream):
            self._replace_upstream(before, upstream)
        self._add_upstream(upstream)
        self.cold.note(upstream.start, upstream.cold_s, now)
        return True

    def _replace_upstream(self, before, upstream):
        if before.start != upstream.start:
            self._note_ended(before.start)
            fields = {"upstream": before.id, "born_ms": before.born_ms}
            logger.info("upstream restarted", extra=fields)
            self.cold.drop(before.start)
            self._on_upstream_restarted(before)
        if before.service != upstream.service:
            self._upstreams.get(before.service, {}).pop(before.id, None)

    def _note_ended(self, start):
        self._ended[start] = None
        if len(self._ended) > MOST_ENDED:
            self._ended.popitem(last=False)

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
            self.cold.drop(upstream.start)
            self._on_upstream_gone(upstream)

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

    def _evacuate(self, evacuation):
        self.rejected += not evacuation.is_readable
        self._evacuated.add(evacuation, len(self._list_zone(evacuation.zone)))

    def _take_back(self, evacuation, now):
        """Use a zone again, carefully.

        Its upstreams may be cold, and their entries that say so come later than this.
        """
        group = self._list_zone(evacuation.zone)
        self._evacuated.remove(evacuation, len(group))
        for upstream in group:
            declared = self._find_service(upstream.service)
            cold_s = declared.cold_s if declared else 0.0
            self.cold.note(upstream.start, cold_s, now)

    def _list_zone(self, zone):
        groups = self._upstreams.values()
        return [u for group in groups for u in group.values() if u.zone == zone]

    def _find_service(self, name):
        configuration = self.configuration
        return configuration.services.get(name) if configuration else None

    def _note_rollout(self, fact, now):
        rollout = self.get_rollout(fact.service)
        rollout.take(fact, now)
        fields = {"service": fact.service, "index": fact.index}
        logger.info("roll-out changed", extra=fields | rollout.describe())

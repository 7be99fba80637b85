"""The fleet as one instance sees it, updated from changes in the store."""

import collections
import logging
import math

from .._errors import ConfigurationInvalid
from .._notices import NoticeSource, UpstreamNotices, log_leaving
from .._poison.blocked import BlockList
from .cold import ColdPeriods
from .configuration import Configuration
from .evacuations import EvacuatedZones
from .peers import PeerDirectory
from .rollout import RolloutOrder, RolloutState, RolloutStatus, Stage
from .service_rollout import ServiceRollout
from .store_entries import BlockedRequest, Evacuation, PeerAddress
from .superseded import SupersededEntries
from .upstream import Upstream

logger = logging.getLogger("merlinnotch")

EXPIRED_ENTRY_GRACE_S = 2.0
"""Grace period for entries that expired in a store outage, from the end of the outage.
During it the platform restores the entries of all live upstreams that reach the
store."""
LOST_ENTRY_GRACE_S = 10.0
"""How long operators' orders and instances' addresses that a restored store lacks stay
in force. Operators and instances write again what they wrote since the copy."""
SEND_MARGIN_S = 0.2
"""Time between the last use of a deleted entry and the deadline for changes. Requests
sent just before the deadline must still arrive in time."""
MAX_ENDED_STARTS = 4096
"""Bounds memory, at some 100 bytes each; the start that ended first is dropped first.
With 670 restarts a day they cover six days."""


class FleetView:
    """The configuration, upstreams and rollouts, built from the mirror's key changes.

    *decode* maps (key, value, index) to a :data:`StoreEntry`, or to None if the key is
    to be ignored; it raises ConfigurationInvalid or ValueError for an invalid value.
    An invalid upstream entry removes the upstream. In place of other invalid entries
    the previous ones stay in force. A zone is evacuated even if the value of its
    evacuation is invalid. *rejected_count* counts all invalid values, also those of
    evacuations.

    *notices* holds what upstreams asked of their senders, in the store or in their
    responses. A cold upstream is one that tolerates only a low rate of requests, see
    :class:`ColdPeriods`. *on_upstream_removed* is called with each removed
    :class:`Upstream`, *on_upstream_restarted* with the previous entry of one that
    restarted under its id. Changes of the store must take effect within
    *change_deadline_s* seconds, which limits how long the upstream of an expired entry
    is kept. *on_upstream_listed* is called with each start that was not listed before.
    """

    def __init__(
        self,
        decode,
        on_upstream_removed=lambda upstream: None,
        on_upstream_restarted=lambda upstream: None,
        change_deadline_s=math.inf,
        on_upstream_listed=lambda upstream: None,
    ):
        self._decode = decode
        self._on_upstream_removed = on_upstream_removed
        self._on_upstream_restarted = on_upstream_restarted
        self._on_upstream_listed = on_upstream_listed
        self._max_retention_s = change_deadline_s - SEND_MARGIN_S
        self._entries = {}
        self._ended_starts = collections.OrderedDict()
        self._upstreams = {}
        self._expired = {}
        self._superseded = SupersededEntries()
        self._lost_until = {}
        self._rollouts = {}
        self.configuration = None
        self.peer_directory = PeerDirectory()
        self.peers = self.peer_directory.peers_by_name
        self.blocked = BlockList()
        self.notices = UpstreamNotices()
        self._evacuated_zones = EvacuatedZones()
        self.cold = ColdPeriods()
        self.rejected_count = 0

    def apply(self, key_changes, now, store_restored_at=None):
        """Apply *key_changes* that were seen at *now*.

        *store_restored_at* is when a recent store outage ended, None without one.
        Upstream entries that are then missing may have expired in the outage; their
        upstreams are kept for a grace period from that time.
        """
        for key_change in key_changes:
            if key_change.item is None:
                self._apply_deletion(key_change.key, now, store_restored_at)
            else:
                self._apply_item(key_change.item, now)

    def apply_copy(self, key_changes, now):
        """Apply the state of a store that was restored from a copy, as seen at *now*.

        What was written since the copy is lost, and is written again by those who wrote
        it. Entries of upstreams, orders and addresses that are missing are kept for a
        grace period, blocks for good, and entries that are older than what is known are
        ignored.
        """
        for rollout in self._rollouts.values():
            rollout.handle_restore(now)
        for key_change in key_changes:
            if key_change.item is None:
                self._apply_loss(key_change.key, now)
            else:
                self._apply_item(key_change.item, now, is_copy=True)

    def list_upstreams(self, service):
        """Return the upstreams of *service* that may get new work by the store."""
        return [
            u
            for u in self._upstreams.get(service, {}).values()
            if not u.draining and not self.is_zone_evacuated(u.zone)
        ]

    def list_accepting(self, service, now):
        """Return the upstreams of *service* that may get requests at *now*."""
        upstreams = self._upstreams.get(service, {}).values()
        return [u for u in upstreams if self.accepts_work(u, now)]

    def list_staying(self, service, now):
        """Return the upstreams of *service* that may get requests after rests."""
        upstreams = self._upstreams.get(service, {}).values()
        return [
            u
            for u in upstreams
            if not self.is_zone_evacuated(u.zone)
            and not self.notices.is_leaving(u.start, now)
        ]

    def accepts_work(self, upstream, now):
        """Return whether *upstream* may get requests at *now*.

        It must be neither leaving, resting nor in an evacuated zone.
        """
        return not self.is_zone_evacuated(upstream.zone) and self.notices.accepts_work(
            upstream.start, now
        )

    def accepts_checks(self, upstream, now):
        """Return whether a silent *upstream* may be checked by a new connection.

        A leaving one may, as its open streams go on.
        """
        return (
            not self.is_zone_evacuated(upstream.zone)
            and self.notices.get_rest_s(upstream.start, now) <= 0.0
        )

    def count_leaving(self, service, now):
        """Return how many upstreams of *service* are leaving."""
        upstreams = self._upstreams.get(service, {}).values()
        return sum(self.notices.is_leaving(u.start, now) for u in upstreams)

    def list_evacuated_zones(self):
        """Return the names of the evacuated zones."""
        return self._evacuated_zones.list_names()

    def is_zone_evacuated(self, zone):
        """Return whether the upstreams of *zone* must get no requests."""
        return zone in self._evacuated_zones

    def is_service_evacuated(self, service):
        """Return whether *service* has upstreams, all of them in evacuated zones."""
        upstreams = self._upstreams.get(service, {}).values()
        return bool(upstreams) and all(
            self.is_zone_evacuated(u.zone) for u in upstreams
        )

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
        """Return the :class:`ServiceRollout` of *service*, created if needed."""
        return self._rollouts.setdefault(service, ServiceRollout())

    def list_active_rollouts(self):
        """Return the (service, rollout) pairs with an active order."""
        return [
            (service, rollout)
            for service, rollout in self._rollouts.items()
            if rollout.state is RolloutState.ACTIVE
        ]

    def list_unwritten_rollouts(self):
        """Return the (service, rollout) pairs whose final state the store lacks."""
        return [
            (service, rollout)
            for service, rollout in self._rollouts.items()
            if rollout.is_state_unwritten
        ]

    def list_present_peers(self):
        """Return the peers that hold a lease."""
        return self.peer_directory.list_present()

    def get_cold_rate(self, service):
        """Return the requests per second that a cold upstream of *service* tolerates.

        0 means no limit.
        """
        declaration = self._find_service(service)
        return declaration.cold_per_s if declaration else 0.0

    def remove_expired(self, now):
        """Remove the upstreams of expired entries whose grace period is over.

        The logged reason for expired entries is "lapsed".

        Return the seconds until the next grace period ends, None without one.
        """
        for key, (upstream, deadline) in list(self._expired.items()):
            if now >= deadline:
                del self._expired[key]
                self._remove_upstream(upstream, "lapsed")
        for key, deadline in list(self._lost_until.items()):
            if now >= deadline:
                self._apply_deletion(key, now, None)
        for item in self._superseded.pop_due(now):
            self._apply_item(item, now)
        deadlines = [deadline for _, deadline in self._expired.values()]
        return min(deadlines) - now if deadlines else None

    @property
    def is_ready(self):
        """Whether a configuration is known and one of its services has upstreams."""
        if self.configuration is None:
            return False
        services = self.configuration.services
        return any(self._upstreams.get(service) for service in services)

    def _is_superseded(self, item, entry, now):
        """Return whether an entry of a restored store is older than what is known."""
        if not isinstance(entry, Upstream):
            return False
        current = self._entries.get(item.key)
        if not isinstance(current, Upstream):
            current = None
        return self._superseded.is_superseded(item, entry, current, now)

    def _apply_loss(self, key, now):
        """Handle an entry that a restored store doesn't have."""
        entry = self._entries.get(key)
        if isinstance(entry, BlockedRequest):
            self.blocked.mark_lost(entry.fingerprint)
        elif isinstance(entry, Evacuation | RolloutOrder | PeerAddress):
            self._lost_until[key] = now + LOST_ENTRY_GRACE_S
        elif isinstance(entry, RolloutStatus | Stage):
            del self._entries[key]
            self.get_rollout(entry.service).lose(entry)
        else:
            self._apply_deletion(key, now, store_restored_at=now)

    def _apply_item(self, item, now, is_copy=False):
        self._superseded.forget(item.key)
        self._lost_until.pop(item.key, None)
        try:
            entry = self._decode(item.key, item.value, item.modify_index)
        except (ConfigurationInvalid, ValueError) as error:
            self.rejected_count += 1
            fields = {"key": item.key, "index": item.modify_index, "fault": str(error)}
            logger.error("invalid store entry rejected", extra=fields)
            self._discard_invalid_entry(item.key)
            return
        if entry is None or (is_copy and self._is_superseded(item, entry, now)):
            return
        if isinstance(entry, Upstream):
            if not self._update_upstream(item.key, entry, now):
                return
        elif isinstance(entry, Configuration):
            self._set_configuration(entry, item.modify_index)
        elif isinstance(entry, PeerAddress):
            self.peer_directory.mark_present(entry)
        elif isinstance(entry, BlockedRequest):
            self.blocked.add(entry.fingerprint, now)
            self.blocked.mark_stored(entry.fingerprint)
        elif isinstance(entry, Evacuation):
            self._evacuate_zone(entry)
        else:
            self._update_rollout(entry, now)
        self._entries[item.key] = entry

    def _discard_invalid_entry(self, key):
        """Remove the upstream whose entry was replaced by an invalid value."""
        if isinstance(self._entries.get(key), Upstream):
            self._remove_upstream(self._entries.pop(key), "entry rejected")

    def _apply_deletion(self, key, now, store_restored_at):
        entry = self._entries.pop(key, None)
        self._superseded.forget(key)
        self._lost_until.pop(key, None)
        if isinstance(entry, Upstream):
            self._superseded.record_removed(entry)
            if store_restored_at is None:
                self._remove_upstream(entry, "removed")
            else:
                self._retain_expired(key, entry, now, store_restored_at)
        elif isinstance(entry, RolloutOrder):
            self.get_rollout(entry.service).order = None
        elif isinstance(entry, PeerAddress):
            self.peer_directory.mark_absent(entry.name, now)
        elif isinstance(entry, BlockedRequest):
            self.blocked.remove(entry.fingerprint)
        elif isinstance(entry, Evacuation):
            self._end_evacuation(entry, now)
        # A deleted configuration stays in force until it is replaced.

    def _retain_expired(self, key, upstream, now, store_restored_at):
        """Keep using an upstream for a grace period after its entry expired."""
        deadline = min(
            store_restored_at + EXPIRED_ENTRY_GRACE_S, now + self._max_retention_s
        )
        self._expired[key] = (upstream, deadline)
        fields = {"upstream": upstream.id, "kept_s": round(deadline - now, 2)}
        logger.info("upstream entry expired", extra=fields)

    def _update_upstream(self, key, upstream, now):
        """Apply an upstream's entry; return False if it belongs to an ended start."""
        if upstream.start in self._ended_starts:
            fields = {"upstream": upstream.id, "born_ms": upstream.started_ms}
            logger.info("stale upstream entry ignored", extra=fields)
            return False
        expired, _ = self._expired.pop(key, (None, 0.0))
        previous = self._entries.get(key, expired)
        if isinstance(previous, Upstream):
            self._handle_previous_entry(previous, upstream)
        self._record_draining(upstream, now)
        self._add_upstream(upstream)
        self.cold.mark_cold(upstream.start, upstream.cold_s, now)
        return True

    def _handle_previous_entry(self, previous, current):
        """Handle a restart or a change of service of an upstream."""
        if previous.start != current.start:
            self._record_ended_start(previous.start)
            fields = {"upstream": previous.id, "born_ms": previous.started_ms}
            logger.info("upstream restarted", extra=fields)
            self.cold.drop(previous.start)
            self.notices.drop(previous.start)
            self._on_upstream_restarted(previous)
        if previous.service != current.service:
            self._upstreams.get(previous.service, {}).pop(previous.id, None)

    def _record_draining(self, upstream, now):
        if not upstream.draining:
            self.notices.withdraw_leaving(upstream.start, NoticeSource.STORE)
        elif self.notices.record_leaving(upstream.start, NoticeSource.STORE, now):
            log_leaving(upstream.id, NoticeSource.STORE)

    def _record_ended_start(self, start):
        self._ended_starts[start] = None
        if len(self._ended_starts) > MAX_ENDED_STARTS:
            self._ended_starts.popitem(last=False)

    def _add_upstream(self, upstream):
        upstreams_by_id = self._upstreams.setdefault(upstream.service, {})
        previous = upstreams_by_id.get(upstream.id)
        upstreams_by_id[upstream.id] = upstream
        if previous is None or previous.draining != upstream.draining:
            fields = {
                "upstream": upstream.id,
                "service": upstream.service,
                "version": upstream.version,
                "draining": upstream.draining,
            }
            logger.info("upstream listed", extra=fields)
        if previous is None or previous.start != upstream.start:
            self._on_upstream_listed(upstream)

    def _remove_upstream(self, upstream, reason):
        upstreams_by_id = self._upstreams.get(upstream.service, {})
        if upstreams_by_id.pop(upstream.id, None) is not None:
            fields = {"upstream": upstream.id, "reason": reason}
            logger.info("upstream removed", extra=fields)
            self.cold.drop(upstream.start)
            self._on_upstream_removed(upstream)

    def _set_configuration(self, configuration, index):
        current = self.configuration
        if current is not None and current.version >= configuration.version:
            logger.warning(
                "older configuration ignored", extra={"version": configuration.version}
            )
            return
        self.configuration = configuration
        fields = {"version": configuration.version, "index": index}
        logger.info("configuration in force", extra=fields)

    def _evacuate_zone(self, evacuation):
        # An invalid value is counted, but the zone is evacuated regardless.
        self.rejected_count += not evacuation.is_valid
        self._evacuated_zones.add(
            evacuation, len(self._list_zone_upstreams(evacuation.zone))
        )

    def _end_evacuation(self, evacuation, now):
        """Use a zone's upstreams again, at first as cold ones.

        Their entries may not yet say that they are cold.
        """
        upstreams = self._list_zone_upstreams(evacuation.zone)
        self._evacuated_zones.remove(evacuation, len(upstreams))
        for upstream in upstreams:
            declaration = self._find_service(upstream.service)
            cold_s = declaration.cold_s if declaration else 0.0
            self.cold.mark_cold(upstream.start, cold_s, now)

    def _list_zone_upstreams(self, zone):
        groups = self._upstreams.values()
        return [u for group in groups for u in group.values() if u.zone == zone]

    def _find_service(self, name):
        configuration = self.configuration
        return configuration.services.get(name) if configuration else None

    def _update_rollout(self, entry, now):
        rollout = self.get_rollout(entry.service)
        previous_fields = rollout.build_log_fields()
        rollout.update(entry, now)
        fields = rollout.build_log_fields()
        if fields != previous_fields or not isinstance(entry, Stage):
            identity = {"service": entry.service, "index": entry.index}
            logger.info("rollout changed", extra=identity | fields)

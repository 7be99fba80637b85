"""Gossip: periodic exchange of state changes between instances."""

import time

from .._config import Revision
from .._daemon.task import Task
from .._peers import (
    GossipReply,
    GossipRequest,
    GossipState,
    Heartbeat,
    InstanceTally,
    Leaving,
    LoadedVersions,
    LoadReport,
    Member,
    Membership,
    Quarantine,
    ZoneView,
    get_highest_ranked,
)
from .link import PeerUnreachable
from .progress import ExchangeProgress

REMOTE_PARTNER_COUNT = 2
SEED_INTERVAL_ROUNDS = 5
HEARTBEAT_INTERVAL_ROUNDS = 2
STARTUP_ROUNDS = 6
"""Up to this round, each has a heartbeat, so that peers soon see a new instance."""

ZONE_VIEW_INTERVAL_S = 8.0
REQUEST_TIMEOUT_S = 1.0
MAX_UPSTREAMS_FOR_REMOTE_LOAD = 64
"""With more upstreams, their load reports are not sent to other zones."""

MEMBER = "member"
ZONE = "zone"
TALLY = "tally"
LEAVING = "leaving"
LOAD = "load"
VERSIONS = "versions"
QUARANTINE = "quarantine"

VALUE_TYPES = {
    MEMBER: Member,
    ZONE: ZoneView,
    TALLY: InstanceTally,
    LEAVING: Leaving,
    LOAD: LoadReport,
    VERSIONS: LoadedVersions,
    QUARANTINE: Quarantine,
}


class Gossiper(Task):
    """Exchanges changes of the replicated state with other instances.

    A request carries the changes of this instance, the reply those of the peer.
    Heartbeats are exchanged within a zone only; one instance of each zone
    publishes its live instances to other zones. The age that a reply gives for
    its proof of the newest revision is counted from the time of the request, so
    that a delayed reply does not make the proof look more recent.
    """

    interval_s = 1.0

    def __init__(self, settings, peers, configurer, metrics, incarnation):
        super().__init__()
        self._settings = settings
        self._peers = peers
        self._configurer = configurer
        self._metrics = metrics
        self._incarnation = incarnation
        self._progress_by_peer = {}
        self._listeners_by_namespace = {}
        self._published_view = ZoneView(0, ())
        self.round_count = 0
        self.leaving = False
        self.state = GossipState()
        self.beats = GossipState()
        self.membership = Membership(settings.instance, settings.zone)
        peers.handlers[GossipRequest] = self.handle_request

    def add_listener(self, namespace, listener):
        """Call *listener* with (key, value) for each newer value in *namespace*."""
        self._listeners_by_namespace.setdefault(namespace, []).append(listener)

    def publish(self, namespace, subkey, value):
        """Set and replicate a value; *subkey* is its key, a tuple, in *namespace*."""
        if self.state.merge((namespace, *subkey), value):
            self._notify_listeners((namespace, *subkey), value)

    def run_once(self):
        now = time.monotonic()
        self._record_own_heartbeat(now)
        self._publish_zone_view(now)
        for address, name in self._select_peers(now):
            try:
                self._exchange(address, name)
            except PeerUnreachable:
                self._progress_by_peer.pop(name, None)
        self._remove_dead(now)
        self._peers.close_idle(now)

    def handle_request(self, request):
        """Return the :class:`GossipReply` to a peer's :class:`GossipRequest`."""
        now = time.monotonic()
        name = request.instance
        is_local = request.zone == self._settings.zone
        with self._metrics.measure_control():
            self._merge(request.updates, request.beats, name, now)
            changes = self._select_changes(request.seen_updates, name, is_local)
            beats = ()
            if is_local:
                beats = self.beats.changes_since(request.seen_heartbeats, name)
        tracker = self._configurer.tracker
        is_outdated = request.revision < tracker.number
        return GossipReply(
            self._settings.zone,
            self._incarnation,
            self.state.sequence,
            self.beats.sequence,
            tracker.number,
            now - tracker.confirmed_at if tracker.number else -1.0,
            tracker.revision.encode() if is_outdated else b"",
            changes,
            beats,
        )

    def _record_own_heartbeat(self, now):
        self.round_count += 1
        name = self._settings.instance
        member = Member(
            self._incarnation,
            self._settings.zone,
            self._settings.advertised_address,
            self.leaving,
        )
        self.state.merge((MEMBER, name), member)
        self.membership.record_member(name, member, now)
        self._metrics.members.set(len(self.membership.list_live(now)))
        if (
            self.round_count % HEARTBEAT_INTERVAL_ROUNDS
            and self.round_count > STARTUP_ROUNDS
        ):
            return
        tracker = self._configurer.tracker
        proof_age_ds = int(10 * (now - tracker.confirmed_at)) if tracker.number else -1
        beat = Heartbeat(
            self._incarnation, self.round_count, tracker.number, proof_age_ds
        )
        self.beats.merge((name,), beat)
        self.membership.record_heartbeat(name, beat, now)

    def _publish_zone_view(self, now):
        """Publish the live instances of the own zone if this is their delegate."""
        zone = self._settings.zone
        live = tuple(self.membership.list_live(now, zone))
        if get_highest_ranked(f"speakers-{zone}", live) != self._settings.instance:
            return
        at_ms = int(time.time() * 1000)
        if (
            live == self._published_view.live
            and at_ms - self._published_view.at_ms < ZONE_VIEW_INTERVAL_S * 1000
        ):
            return
        self._published_view = ZoneView(at_ms, live)
        self.publish(ZONE, (zone,), self._published_view)

    def _select_peers(self, now):
        partners = self.membership.pick_partners(
            now, REMOTE_PARTNER_COUNT, self.round_count
        )
        targets = [(member.address, name) for name, member in partners.items()]
        if self.round_count % SEED_INTERVAL_ROUNDS == 1 or not targets:
            targets += self._list_unknown_seeds(now)
        return targets

    def _list_unknown_seeds(self, now):
        """Return the seeds that are not live members, so that partitions can merge."""
        known = {m.address for m in self.membership.list_live(now).values()}
        known.add(self._settings.advertised_address)
        return [(seed, seed) for seed in self._settings.seeds if seed not in known]

    def _exchange(self, address, name):
        progress = self._progress_by_peer.get(name, ExchangeProgress())
        is_local = progress.zone == self._settings.zone
        sent_sequences = (self.state.sequence, self.beats.sequence)
        with self._metrics.measure_control():
            request = self._build_request(name, progress, is_local)
        requested_at = time.monotonic()
        reply = self._peers.request(address, request, REQUEST_TIMEOUT_S)
        if progress.incarnation in (0, reply.incarnation):
            self._progress_by_peer[name] = ExchangeProgress(
                reply.incarnation,
                reply.zone,
                sent_sequences[0],
                sent_sequences[1] if is_local else 0,
                reply.update_sequence,
                reply.beat_sequence,
            )
        else:
            # The peer restarted and lost what had been sent to it.
            self._progress_by_peer[name] = ExchangeProgress(
                reply.incarnation, reply.zone
            )
        with self._metrics.measure_control():
            self._merge(reply.updates, reply.beats, name, time.monotonic())
        self._apply_revision(reply, requested_at)

    def _build_request(self, name, progress, is_local):
        beats = ()
        if is_local:
            beats = self.beats.changes_since(progress.sent_heartbeats, name)
        return GossipRequest(
            self._settings.instance,
            self._settings.zone,
            progress.seen_changes,
            progress.seen_heartbeats,
            self._configurer.tracker.number,
            self._select_changes(progress.sent_changes, name, is_local),
            beats,
        )

    def _select_changes(self, sequence, name, is_local):
        changes = self.state.changes_since(sequence, name)
        if is_local or self.state.count(VERSIONS) <= MAX_UPSTREAMS_FOR_REMOTE_LOAD:
            return changes
        return tuple(change for change in changes if change[0][0] != LOAD)

    def _apply_revision(self, reply, requested_at):
        if reply.revision == 0:
            return
        confirmed_at = requested_at - reply.proof_age_s
        if reply.body:
            self._configurer.submit(Revision.decode(reply.body), confirmed_at)
        else:
            self._configurer.tracker.record_confirmation(reply.revision, confirmed_at)

    def _merge(self, changes, beats, source, now):
        own_name = self._settings.instance
        for key, value in changes:
            if not isinstance(value, VALUE_TYPES.get(key[0], ())):
                continue
            if key == (MEMBER, own_name):
                continue
            if self.state.merge(key, value, source):
                self._apply_change(key, value, now)
        for key, beat in beats:
            if key != (own_name,) and self.membership.record_heartbeat(
                key[0], beat, now
            ):
                self.beats.merge(key, beat, source)

    def _apply_change(self, key, value, now):
        if key[0] == MEMBER:
            self.membership.record_member(key[1], value, now)
        elif key[0] == ZONE and key[1] != self._settings.zone:
            self.membership.record_zone_view(key[1], value, now)
        self._notify_listeners(key, value)

    def _notify_listeners(self, key, value):
        for listener in self._listeners_by_namespace.get(key[0], ()):
            listener(key, value)

    def _remove_dead(self, now):
        for name in self.membership.remove_dead(now):
            self.state.drop((MEMBER, name))
            self.beats.drop((name,))
            self._progress_by_peer.pop(name, None)

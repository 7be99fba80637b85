"""Exchanging state with peers."""

import time

from .._config import Revision
from .._peers import (
    GossipReply,
    GossipRequest,
    GossipState,
    InstanceTally,
    Leaving,
    LoadReport,
    Member,
    Membership,
    Quarantine,
    Scope,
)
from .link import PeerUnreachable
from .task import Task

NEAR_PEERS = 2
FAR_PEERS = 1
REQUEST_TIMEOUT_S = 1.0

MEMBER = "member"
TALLY = "tally"
LEAVING = "leaving"
LOAD = "load"
QUARANTINE = "quarantine"

SCOPES = {
    MEMBER: Scope.FLEET,
    TALLY: Scope.FLEET,
    LEAVING: Scope.FLEET,
    LOAD: Scope.FLEET,
    QUARANTINE: Scope.FLEET,
}
VALUE_TYPES = {
    MEMBER: Member,
    TALLY: InstanceTally,
    LEAVING: Leaving,
    LOAD: LoadReport,
    QUARANTINE: Quarantine,
}


class Gossiper(Task):
    """Tells a few peers what changed, and hears what changed there.

    Exchanges are pulls with a payload: a proof of the newest revision counts
    from the moment we asked, however late the reply comes.
    """

    interval_s = 0.5

    def __init__(self, settings, peers, configurer, metrics, incarnation):
        super().__init__()
        self._settings = settings
        self._peers = peers
        self._configurer = configurer
        self._metrics = metrics
        self._incarnation = incarnation
        self._heartbeat = 0
        self._known_incarnations = {}
        self._sent = {}
        self._received = {}
        self._listeners = {}
        self.leaving = False
        self.state = GossipState(SCOPES)
        self.membership = Membership(settings.instance, settings.zone)
        peers.handlers[GossipRequest] = self.answer

    @property
    def beats(self):
        """The number of gossip rounds so far."""
        return self._heartbeat

    def listen(self, family, listener):
        """Call *listener* with (key, value) for each newer entry of *family*."""
        self._listeners.setdefault(family, []).append(listener)

    def publish(self, family, name, value):
        """Spread our own word; *name* is a tuple that tells it from others."""
        if self.state.merge((family, *name), value):
            self._notify((family, *name), value)

    def run_once(self):
        now = time.monotonic()
        self._beat(now)
        for address, name in self._pick_peers(now):
            try:
                self._exchange(address, name)
            except PeerUnreachable:
                self._received.pop(name, None)
        self._forget_dead(now)

    def answer(self, request):
        """Answer a peer's exchange."""
        now = time.monotonic()
        with self._metrics.measure_control():
            self._merge(request.entries, request.instance, now)
            # What the peer has not seen: all, if it met another incarnation.
            entries = self._select(request.instance, request.zone, request.seen)
        tracker = self._configurer.tracker
        behind = request.revision < tracker.number
        return GossipReply(
            self._incarnation,
            self.state.sequence,
            tracker.number,
            now - tracker.proved_at if tracker.number else -1.0,
            tracker.revision.encode() if behind else b"",
            entries,
        )

    def _beat(self, now):
        self._heartbeat += 1
        tracker = self._configurer.tracker
        stale_s = now - tracker.proved_at if tracker.number else -1.0
        member = Member(
            self._settings.instance,
            self._incarnation,
            self._heartbeat,
            self._settings.zone,
            self._settings.advertised_address,
            tracker.number,
            round(stale_s, 1),
            self.leaving,
        )
        self.state.merge((MEMBER, member.instance), member)
        self.membership.note(member, now)
        self._metrics.members.set(len(self.membership.list_live(now)))

    def _pick_peers(self, now):
        picked = self.membership.pick_gossip_peers(now, NEAR_PEERS, FAR_PEERS)
        found = [(member.address, member.instance) for member in picked]
        known = {member.address for member in self.membership.list_live(now)}
        # Seeds are asked while they are unheard of, so that parts that lost
        # each other meet again.
        for seed in self._settings.seeds:
            if seed not in known and seed != self._settings.advertised_address:
                found.append((seed, seed))
        return found

    def _exchange(self, address, name):
        sequence = self.state.sequence
        zone = self._zone_of(name)
        with self._metrics.measure_control():
            entries = self._select(name, zone, self._sent.get(name, 0))
        seen = self._received.get(name, (0, 0))
        request = GossipRequest(
            self._settings.instance,
            self._settings.zone,
            self._incarnation,
            seen[1],
            self._configurer.tracker.number,
            entries,
        )
        asked_at = time.monotonic()
        reply = self._peers.request(address, request, REQUEST_TIMEOUT_S)
        if seen[0] not in (0, reply.incarnation):
            # The peer restarted: it has none of what the old one was told.
            sequence, reply_sequence = 0, 0
        else:
            reply_sequence = reply.sequence
        self._sent[name] = sequence
        self._received[name] = (reply.incarnation, reply_sequence)
        with self._metrics.measure_control():
            self._merge(reply.entries, name, time.monotonic())
        self._take_revision(reply, asked_at)

    def _take_revision(self, reply, asked_at):
        if reply.revision == 0:
            return
        proved_at = asked_at - reply.proof_age_s
        if reply.body:
            self._configurer.offer(Revision.decode(reply.body), proved_at)
        else:
            self._configurer.tracker.prove(reply.revision, proved_at)

    def _select(self, peer, zone, sequence):
        same_zone = zone == self._settings.zone
        changes = self.state.changes_since(sequence, peer, same_zone)
        return tuple((entry.key, entry.value) for entry in changes)

    def _merge(self, entries, source, now):
        for key, value in entries:
            key = tuple(key)
            if not isinstance(value, VALUE_TYPES.get(key[0], ())):
                continue
            if key == (MEMBER, self._settings.instance):
                continue
            if key[0] == MEMBER and not self.membership.note(value, now):
                continue
            if self.state.merge(key, value, source):
                self._notify(key, value)

    def _notify(self, key, value):
        for listener in self._listeners.get(key[0], ()):
            listener(key, value)

    def _zone_of(self, name):
        member = self.membership.get(name)
        return member.zone if member else ""

    def _forget_dead(self, now):
        for name in self.membership.forget_dead(now):
            self.state.drop((MEMBER, name))
            self._sent.pop(name, None)
            self._received.pop(name, None)

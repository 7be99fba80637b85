"""Exchanging state with peers."""

import time

from .._config import Revision
from .._daemon.task import Task
from .._peers import (
    Beat,
    GossipReply,
    GossipRequest,
    GossipState,
    InstanceTally,
    Leaving,
    LoadedVersions,
    LoadReport,
    Member,
    Membership,
    Quarantine,
    ZoneView,
    rank_first,
)
from .link import PeerUnreachable
from .progress import Progress

FAR_PARTNERS = 2
SEED_EVERY_ROUNDS = 5
BEAT_EVERY_ROUNDS = 2
FIRST_ROUNDS = 6
"""Rounds after the start in which every one has a heartbeat, to be known soon."""

VIEW_EVERY_S = 8.0
REQUEST_TIMEOUT_S = 1.0
MANY_UPSTREAMS = 64
"""Up to this many, every zone hears of the load of each upstream."""

MEMBER = "member"
ZONE = "zone"
TALLY = "tally"
LEAVING = "leaving"
LOAD = "load"
VERSIONS = "versions"
QUARANTINE = "quarantine"

WORD_TYPES = {
    MEMBER: Member,
    ZONE: ZoneView,
    TALLY: InstanceTally,
    LEAVING: Leaving,
    LOAD: LoadReport,
    VERSIONS: LoadedVersions,
    QUARANTINE: Quarantine,
}


class Gossiper(Task):
    """Tells partners what changed, and hears what changed there.

    Exchanges are pulls with a payload: a proof of the newest revision counts
    from the moment we asked, however late the reply comes. Words travel with
    every exchange, heartbeats within a zone only; one instance tells other
    zones who is live in ours.
    """

    interval_s = 1.0

    def __init__(self, settings, peers, configurer, metrics, incarnation):
        super().__init__()
        self._settings = settings
        self._peers = peers
        self._configurer = configurer
        self._metrics = metrics
        self._incarnation = incarnation
        self._progress = {}
        self._listeners = {}
        self._view = ZoneView(0, ())
        self.rounds = 0
        self.leaving = False
        self.words = GossipState()
        self.beats = GossipState()
        self.membership = Membership(settings.instance, settings.zone)
        peers.handlers[GossipRequest] = self.answer

    def listen(self, family, listener):
        """Call *listener* with (key, value) for each newer word of *family*."""
        self._listeners.setdefault(family, []).append(listener)

    def publish(self, family, name, value):
        """Spread our own word; *name* is a tuple that tells it from others."""
        if self.words.merge((family, *name), value):
            self._notify((family, *name), value)

    def run_once(self):
        now = time.monotonic()
        self._beat(now)
        self._tell_zone(now)
        for address, name in self._pick_peers(now):
            try:
                self._exchange(address, name)
            except PeerUnreachable:
                self._progress.pop(name, None)
        self._forget_dead(now)
        self._peers.close_idle(now)

    def answer(self, request):
        """Answer a peer's exchange."""
        now = time.monotonic()
        name = request.instance
        near = request.zone == self._settings.zone
        with self._metrics.measure_control():
            self._merge(request.words, request.beats, name, now)
            words = self._select_words(request.seen_words, name, near)
            beats = ()
            if near:
                beats = self.beats.changes_since(request.seen_beats, name)
        tracker = self._configurer.tracker
        behind = request.revision < tracker.number
        return GossipReply(
            self._settings.zone,
            self._incarnation,
            self.words.sequence,
            self.beats.sequence,
            tracker.number,
            now - tracker.proved_at if tracker.number else -1.0,
            tracker.revision.encode() if behind else b"",
            words,
            beats,
        )

    def _beat(self, now):
        self.rounds += 1
        name = self._settings.instance
        member = Member(
            self._incarnation,
            self._settings.zone,
            self._settings.advertised_address,
            self.leaving,
        )
        self.words.merge((MEMBER, name), member)
        self.membership.note_member(name, member, now)
        self._metrics.members.set(len(self.membership.list_live(now)))
        if self.rounds % BEAT_EVERY_ROUNDS and self.rounds > FIRST_ROUNDS:
            return
        tracker = self._configurer.tracker
        stale_ds = int(10 * (now - tracker.proved_at)) if tracker.number else -1
        beat = Beat(self._incarnation, self.rounds, tracker.number, stale_ds)
        self.beats.merge((name,), beat)
        self.membership.note_beat(name, beat, now)

    def _tell_zone(self, now):
        """Tell other zones who is live in ours, if that is for us to tell."""
        zone = self._settings.zone
        live = tuple(self.membership.list_live(now, zone))
        if rank_first(f"speakers-{zone}", live) != self._settings.instance:
            return
        at_ms = int(time.time() * 1000)
        if live == self._view.live and at_ms - self._view.at_ms < VIEW_EVERY_S * 1000:
            return
        self._view = ZoneView(at_ms, live)
        self.publish(ZONE, (zone,), self._view)

    def _pick_peers(self, now):
        picked = self.membership.pick_partners(now, FAR_PARTNERS, self.rounds)
        found = [(member.address, name) for name, member in picked.items()]
        if self.rounds % SEED_EVERY_ROUNDS == 1 or not found:
            found += self._list_lost_seeds(now)
        return found

    def _list_lost_seeds(self, now):
        """Return seeds nobody has heard of, so that lost parts meet again."""
        known = {m.address for m in self.membership.list_live(now).values()}
        known.add(self._settings.advertised_address)
        return [(seed, seed) for seed in self._settings.seeds if seed not in known]

    def _exchange(self, address, name):
        progress = self._progress.get(name, Progress())
        near = progress.zone == self._settings.zone
        sent = (self.words.sequence, self.beats.sequence)
        with self._metrics.measure_control():
            request = self._build_request(name, progress, near)
        asked_at = time.monotonic()
        reply = self._peers.request(address, request, REQUEST_TIMEOUT_S)
        if progress.incarnation in (0, reply.incarnation):
            self._progress[name] = Progress(
                reply.incarnation,
                reply.zone,
                sent[0],
                sent[1] if near else 0,
                reply.word_sequence,
                reply.beat_sequence,
            )
        else:
            # The peer restarted: it has none of what the old one was told.
            self._progress[name] = Progress(reply.incarnation, reply.zone)
        with self._metrics.measure_control():
            self._merge(reply.words, reply.beats, name, time.monotonic())
        self._take_revision(reply, asked_at)

    def _build_request(self, name, progress, near):
        beats = ()
        if near:
            beats = self.beats.changes_since(progress.sent_beats, name)
        return GossipRequest(
            self._settings.instance,
            self._settings.zone,
            progress.seen_words,
            progress.seen_beats,
            self._configurer.tracker.number,
            self._select_words(progress.sent_words, name, near),
            beats,
        )

    def _select_words(self, sequence, name, near):
        words = self.words.changes_since(sequence, name)
        if near or self.words.count(VERSIONS) <= MANY_UPSTREAMS:
            return words
        return tuple(word for word in words if word[0][0] != LOAD)

    def _take_revision(self, reply, asked_at):
        if reply.revision == 0:
            return
        proved_at = asked_at - reply.proof_age_s
        if reply.body:
            self._configurer.offer(Revision.decode(reply.body), proved_at)
        else:
            self._configurer.tracker.prove(reply.revision, proved_at)

    def _merge(self, words, beats, source, now):
        own = self._settings.instance
        for key, value in words:
            if not isinstance(value, WORD_TYPES.get(key[0], ())):
                continue
            if key == (MEMBER, own):
                continue
            if self.words.merge(key, value, source):
                self._take_word(key, value, now)
        for key, beat in beats:
            if key != (own,) and self.membership.note_beat(key[0], beat, now):
                self.beats.merge(key, beat, source)

    def _take_word(self, key, value, now):
        if key[0] == MEMBER:
            self.membership.note_member(key[1], value, now)
        elif key[0] == ZONE and key[1] != self._settings.zone:
            self.membership.note_view(key[1], value, now)
        self._notify(key, value)

    def _notify(self, key, value):
        for listener in self._listeners.get(key[0], ()):
            listener(key, value)

    def _forget_dead(self, now):
        for name in self.membership.forget_dead(now):
            self.words.drop((MEMBER, name))
            self.beats.drop((name,))
            self._progress.pop(name, None)

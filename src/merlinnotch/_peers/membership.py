"""Failure detection between instances, and the choice of gossip partners."""

from .._rendezvous_hashing import get_highest_ranked, rank_names

SUSPICION_TIMEOUT_S = 6.0
REMOTE_VIEW_TIMEOUT_S = 24.0
"""How long a zone's view of its own instances is valid in other zones."""

DEAD_RETENTION_S = 120.0
FIRST_HEARTBEAT_ELAPSED_SHARE = 2 / 3
"""Part of the suspicion timeout that counts as elapsed at a first heartbeat."""


class Membership:
    """The known instances, and which of them are live.

    An instance of the own zone is live if a newer heartbeat arrived within the
    suspicion timeout. Old heartbeats do not count, so that a paused instance
    that resumes with old state revives no dead ones. The first heartbeat of an
    instance, which may be old, counts for a shorter time. An instance of another
    zone is live if that zone's latest view lists it and is recent.
    """

    def __init__(self, instance, zone):
        self._instance = instance
        self._zone = zone
        self._members = {}
        self._last_beats = {}
        self._seen_at = {}
        self._zone_views = {}

    def record_member(self, instance, member, now):
        """Record newer properties of an instance, which does not make it live."""
        current = self._members.get(instance)
        if current is None or current.order < member.order:
            self._members[instance] = member
            self._seen_at.setdefault(instance, now - SUSPICION_TIMEOUT_S)

    def record_heartbeat(self, instance, beat, now):
        """Record a heartbeat; return whether it is newer than the last one."""
        previous = self._last_beats.get(instance)
        if previous is not None and previous.order >= beat.order:
            return False
        self._last_beats[instance] = beat
        is_first = previous is None and instance != self._instance
        self._seen_at[instance] = now - (
            SUSPICION_TIMEOUT_S * FIRST_HEARTBEAT_ELAPSED_SHARE if is_first else 0.0
        )
        return True

    def record_zone_view(self, zone, view, now):
        """Record a view of another zone, received at *now*, in place of the last."""
        self._zone_views[zone] = (view, now)

    def remove_dead(self, now):
        """Remove long-silent instances of the own zone; return their names.

        Their last heartbeats are kept, so that old ones from peers do not revive
        them.
        """
        dead = [
            name
            for name, seen_at in self._seen_at.items()
            if self._is_local(name) and now - seen_at > DEAD_RETENTION_S
        ]
        for name in dead:
            del self._seen_at[name]
            self._members.pop(name, None)
        return dead

    def get(self, instance):
        """Return the :class:`Member`, live or not, or None."""
        return self._members.get(instance)

    def get_heartbeat(self, instance):
        """Return the last :class:`Heartbeat` of an instance, or None."""
        return self._last_beats.get(instance)

    def is_live(self, instance, now):
        """Return whether the instance is live at *now*."""
        if self._is_local(instance):
            return (
                now - self._seen_at.get(instance, float("-inf")) < SUSPICION_TIMEOUT_S
            )
        member = self._members[instance]
        view, seen_at = self._zone_views.get(member.zone, (None, 0.0))
        if view is None or now - seen_at > REMOTE_VIEW_TIMEOUT_S:
            return False
        return instance in view.live

    def list_live(self, now, zone=None):
        """Return live members by name, only those of *zone* if given."""
        return {
            name: member
            for name, member in sorted(self._members.items())
            if zone in (None, member.zone) and self.is_live(name, now)
        }

    def count_known(self, zone):
        """Return the number of known instances of *zone*, live or not."""
        return sum(member.zone == zone for member in self._members.values())

    def list_staying(self, now):
        """Return live members by name, without those that are leaving."""
        live = self.list_live(now)
        return {name: m for name, m in live.items() if not m.leaving}

    def pick_partners(self, now, remote_count, round_number=0):
        """Return the members to gossip with, by name.

        Partners stay the same while membership does, so that each exchange
        carries only recent changes. In the own zone they are the next instance
        by name, which forms a ring, and one chosen by hash, which shortens the
        paths. Each of the *remote_count* top-ranked instances also has one partner
        in a different other zone. The *round_number* selects one more partner, an
        instance of the own zone that is known but not live.
        """
        live = self.list_live(now)
        local = [name for name, m in live.items() if m.zone == self._zone]
        names = self._pick_local(local) + self._pick_silent(local, round_number)
        # Delegates are chosen with the key "speakers-ZONE", also in other modules.
        delegates = rank_names(f"speakers-{self._zone}", local, remote_count)
        if self._instance in delegates:
            names += self._pick_remote(
                live, remote_count, delegates.index(self._instance)
            )
        return {name: self._members[name] for name in names}

    def pick_copy_holder(self, now):
        """Return the name and member of the peer that holds copies of bills, or None.

        It is in another zone if possible, so that the loss of a zone loses no
        bills.
        """
        staying = self.list_staying(now)
        staying.pop(self._instance, None)
        remote = {n: m for n, m in staying.items() if m.zone != self._zone}
        candidates = remote or staying
        name = get_highest_ranked(self._instance, candidates)
        return (name, candidates[name]) if name else None

    def _pick_local(self, local):
        others = [name for name in local if name != self._instance]
        if not others:
            return []
        successors = [name for name in others if name > self._instance]
        successor = successors[0] if successors else others[0]
        return list(
            dict.fromkeys((successor, get_highest_ranked(self._instance, others)))
        )

    def _pick_silent(self, live_names, round_number):
        silent = [
            name
            for name, member in sorted(self._members.items())
            if member.zone == self._zone and name not in live_names
        ]
        return [silent[round_number % len(silent)]] if silent else []

    def _is_local(self, instance):
        member = self._members.get(instance)
        return member is None or member.zone == self._zone

    def _pick_remote(self, live, count, index):
        """Return the partner, as a list, in the zone assigned to delegate *index*."""
        zones = sorted({m.zone for m in live.values() if m.zone != self._zone})
        partners = []
        for position, zone in enumerate(
            rank_names(f"zones-{self._zone}", zones, count)
        ):
            if position % count == index:
                names = [name for name, m in live.items() if m.zone == zone]
                partners.append(get_highest_ranked(f"speakers-{zone}", names))
        return partners

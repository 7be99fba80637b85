"""Judging which instances are alive, and whom to talk to."""

from .._rendezvous import rank, rank_first

SUSPECT_S = 6.0
FAR_SUSPECT_S = 24.0
"""How long a zone's view of itself counts in other zones."""

FORGET_AFTER_S = 120.0
PROBATION_SHARE = 2 / 3
"""Part of the suspicion time that a first word is taken to have used up."""


class Membership:
    """Follows heartbeats of our zone, and other zones' views of themselves.

    An instance of our zone is live while its heartbeat moved within the
    suspicion time. A paused instance that comes back with old state thus
    brings no one back to life: only new heartbeats count, and the first one
    of an instance counts for a shorter while. Instances of other zones are
    live while their zone's view, itself recent, has them.
    """

    def __init__(self, instance, zone):
        self._instance = instance
        self._zone = zone
        self._members = {}
        self._beats = {}
        self._seen_at = {}
        self._views = {}

    def note_member(self, instance, member, now):
        """Take a newer word about an instance, which may not be live."""
        known = self._members.get(instance)
        if known is None or known.order < member.order:
            self._members[instance] = member
            self._seen_at.setdefault(instance, now - SUSPECT_S)

    def note_beat(self, instance, beat, now):
        """Take a heartbeat; return whether it was a newer one."""
        known = self._beats.get(instance)
        if known is not None and known.order >= beat.order:
            return False
        self._beats[instance] = beat
        first = known is None and instance != self._instance
        self._seen_at[instance] = now - (SUSPECT_S * PROBATION_SHARE if first else 0.0)
        return True

    def note_view(self, zone, view, now):
        """Take a newer view of another zone."""
        self._views[zone] = (view, now)

    def forget_dead(self, now):
        """Drop and return the names of instances of our zone silent for long.

        Their last beats are kept, so that nobody's old word revives them.
        """
        dead = [
            name
            for name, seen_at in self._seen_at.items()
            if self._is_near(name) and now - seen_at > FORGET_AFTER_S
        ]
        for name in dead:
            del self._seen_at[name]
            self._members.pop(name, None)
        return dead

    def get(self, instance):
        """Return the :class:`Member`, live or not, or None."""
        return self._members.get(instance)

    def get_beat(self, instance):
        """Return the last :class:`Beat` of an instance, or None."""
        return self._beats.get(instance)

    def is_live(self, instance, now):
        """Return whether the instance was heard of lately."""
        if self._is_near(instance):
            return now - self._seen_at.get(instance, float("-inf")) < SUSPECT_S
        member = self._members[instance]
        view, seen_at = self._views.get(member.zone, (None, 0.0))
        if view is None or now - seen_at > FAR_SUSPECT_S:
            return False
        return instance in view.live

    def list_live(self, now, zone=None):
        """Return live members by name, of one zone if given."""
        return {
            name: member
            for name, member in sorted(self._members.items())
            if zone in (None, member.zone) and self.is_live(name, now)
        }

    def list_staying(self, now):
        """Return live members by name that are not about to leave."""
        live = self.list_live(now)
        return {name: m for name, m in live.items() if not m.leaving}

    def pick_partners(self, now, far, turn=0):
        """Return whom to exchange with, by name.

        Partners stay the same while membership does, so that each exchange
        carries only what is new since the last one. In our zone that is the
        next instance by name, which makes a ring, and one by hash, which makes
        the ring small. Only the first *far* instances of a zone have partners
        in other zones, each a zone of its own. In each *turn* another one of
        those of our zone that are known but not live is tried as well.
        """
        live = self.list_live(now)
        here = [name for name, m in live.items() if m.zone == self._zone]
        names = self._pick_near(here) + self._pick_unheard(here, turn)
        speakers = rank(f"speakers-{self._zone}", here, far)
        if self._instance in speakers:
            names += self._pick_far(live, far, speakers.index(self._instance))
        return {name: self._members[name] for name in names}

    def pick_copy_holder(self, now):
        """Return the name and member of the peer that keeps our copies, or None.

        A peer in another zone if there is one, so that losing one zone
        loses no bill.
        """
        staying = self.list_staying(now)
        staying.pop(self._instance, None)
        there = {n: m for n, m in staying.items() if m.zone != self._zone}
        choice = there or staying
        name = rank_first(self._instance, choice)
        return (name, choice[name]) if name else None

    def _pick_near(self, here):
        others = [name for name in here if name != self._instance]
        if not others:
            return []
        following = [name for name in others if name > self._instance]
        ring = following[0] if following else others[0]
        return list(dict.fromkeys((ring, rank_first(self._instance, others))))

    def _pick_unheard(self, here, turn):
        unheard = [
            name
            for name, member in sorted(self._members.items())
            if member.zone == self._zone and name not in here
        ]
        return [unheard[turn % len(unheard)]] if unheard else []

    def _is_near(self, instance):
        member = self._members.get(instance)
        return member is None or member.zone == self._zone

    def _pick_far(self, live, far, place):
        """Return the partner in the zone that is ours among the speakers'."""
        zones = sorted({m.zone for m in live.values() if m.zone != self._zone})
        picked = []
        for number, zone in enumerate(rank(f"zones-{self._zone}", zones, far)):
            if number % far == place:
                there = [name for name, m in live.items() if m.zone == zone]
                picked.append(rank_first(f"speakers-{zone}", there))
        return picked

"""Judging which instances are alive, and whom to talk to."""

import random

from .rendezvous import rank_first

NEAR_SUSPECT_S = 6.0
FAR_SUSPECT_S = 16.0
"""Heartbeats from other zones come in less often than those of our own."""

FORGET_AFTER_S = 120.0
PROBATION_SHARE = 2 / 3
"""Part of the suspicion time that a first word is taken to have used up."""


class Membership:
    """Follows heartbeats on the local clock.

    An instance is live while its heartbeat moved within the suspicion time. A
    paused instance that comes back with old state thus brings no one back to
    life: only new heartbeats count, and the first one of an instance counts
    for a shorter while.
    """

    def __init__(self, instance, zone, seed=0):
        self._instance = instance
        self._zone = zone
        self._members = {}
        self._beats = {}
        self._seen_at = {}
        self._random = random.Random(f"{instance}{seed}")

    def note_member(self, instance, member):
        """Take a newer word about an instance."""
        known = self._members.get(instance)
        if known is None or known.order < member.order:
            self._members[instance] = member

    def note_beat(self, instance, beat, now):
        """Take a heartbeat; return whether it was a newer one."""
        known = self._beats.get(instance)
        if known is not None and known.order >= beat.order:
            return False
        self._beats[instance] = beat
        first = known is None and instance != self._instance
        used_up = self._suspect_after(instance) * PROBATION_SHARE if first else 0.0
        self._seen_at[instance] = now - used_up
        return True

    def forget_dead(self, now):
        """Drop and return the names of instances silent for long.

        Their last beats are kept, so that nobody's old word revives them.
        """
        dead = [n for n, at in self._seen_at.items() if now - at > FORGET_AFTER_S]
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
        seen = self._seen_at.get(instance, float("-inf"))
        return now - seen <= self._suspect_after(instance)

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

    def pick_gossip_peers(self, now, near, far):
        """Return up to *near* live peers in our zone and *far* in others, by name."""
        live = self.list_live(now)
        live.pop(self._instance, None)
        here = [name for name, m in live.items() if m.zone == self._zone]
        there = [name for name in live if name not in here]
        names = [
            *self._random.sample(here, min(near, len(here))),
            *self._random.sample(there, min(far, len(there))),
        ]
        return {name: live[name] for name in names}

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

    def _suspect_after(self, instance):
        member = self._members.get(instance)
        near = member is not None and member.zone == self._zone
        return NEAR_SUSPECT_S if near else FAR_SUSPECT_S

"""Judging which instances are alive, and whom to talk to."""

import hashlib
import random

FAMILY = "member"
SUSPECT_AFTER_S = 6.0
FORGET_AFTER_S = 120.0
PROBATION_S = 4.0
"""Part of the suspicion time that a first word is taken to have used up."""


class Membership:
    """Follows heartbeats on the local clock.

    An instance is live while its heartbeat, or its incarnation, moved within
    the last :data:`SUSPECT_AFTER_S` seconds. A paused instance that comes
    back with old state thus brings no one back to life: only new heartbeats
    count, and the first word of an instance counts for a shorter while.
    """

    def __init__(self, instance, zone, seed=0):
        self._instance = instance
        self._zone = zone
        self._members = {}
        self._seen_at = {}
        self._forgotten = {}
        self._random = random.Random(f"{instance}{seed}")

    def note(self, member, now):
        """Take a newer word about an instance; return whether it was newer."""
        name = member.instance
        known = self._members.get(name)
        last_order = known.order if known else self._forgotten.pop(name, None)
        if last_order is not None and last_order >= member.order:
            if known is None:
                self._forgotten[name] = last_order
            return False
        first_word = last_order is None and name != self._instance
        self._members[name] = member
        self._seen_at[name] = now - (PROBATION_S if first_word else 0.0)
        return True

    def forget_dead(self, now):
        """Drop and return the names of instances silent for long."""
        dead = [name for name, at in self._seen_at.items() if now - at > FORGET_AFTER_S]
        for name in dead:
            self._forgotten[name] = self._members.pop(name).order
            del self._seen_at[name]
        return dead

    def get(self, instance):
        """Return the :class:`Member`, live or not, or None."""
        return self._members.get(instance)

    def is_live(self, instance, now):
        """Return whether the instance was heard of lately."""
        seen = self._seen_at.get(instance, float("-inf"))
        return now - seen <= SUSPECT_AFTER_S

    def list_live(self, now, zone=None):
        """Return the live members, of one zone if given, sorted by name."""
        return [
            member
            for name, member in sorted(self._members.items())
            if self.is_live(name, now) and zone in (None, member.zone)
        ]

    def pick_gossip_peers(self, now, near, far):
        """Return up to *near* live peers in our zone and *far* in others."""
        live = [m for m in self.list_live(now) if m.instance != self._instance]
        here = [m for m in live if m.zone == self._zone]
        there = [m for m in live if m.zone != self._zone]
        return [
            *self._random.sample(here, min(near, len(here))),
            *self._random.sample(there, min(far, len(there))),
        ]

    def pick_copy_holder(self, key, now):
        """Return the live peer that keeps copies for *key*, or None.

        A peer in another zone if there is one, so that losing one zone
        loses no bill.
        """
        live = [
            m
            for m in self.list_live(now)
            if m.instance != self._instance and not m.leaving
        ]
        there = [m for m in live if m.zone != self._zone]
        return rank_first(key, there or live)

    def prefers(self, key, now):
        """Return whether we rank first among live, staying members for *key*."""
        staying = [m for m in self.list_live(now) if not m.leaving]
        first = rank_first(key, staying)
        return first is not None and first.instance == self._instance


def rank_first(key, members):
    """Return the member that rendezvous hashing ranks first for *key*."""
    return max(members, key=lambda m: _weigh(key, m.instance), default=None)


def _weigh(key, instance):
    text = f"{key}\0{instance}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()

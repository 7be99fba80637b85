"""Selection of upstreams together with the permits and leases that some need."""

import dataclasses

import eventlet

from .._errors import ErrorKind, RequestRefused

ABANDONED_HOLD_S = 0.5
"""Time within which upstreams stop working on requests whose connection is closed."""
SLOT_WAIT_S = 0.1
"""How long a request waits for a slot if no brittle upstream has a free one."""
FULL_RETRY_AFTER_S = 0.5
"""Retry-After if all slots are taken. How long their requests take is unknown."""


class PermittedChooser:
    """Chooses upstreams by *chooser* and gets what it takes to send there.

    Limited upstreams need permits from *permits*, a :class:`Permits`, brittle ones
    leases from *slots*, a :class:`SlotExchange`. An upstream that denies them is not
    chosen again for the same attempt.
    """

    def __init__(self, chooser, permits, slots, view, read_clock):
        self._chooser = chooser
        self._permits = permits
        self._slots = slots
        self._view = view
        self._read_clock = read_clock

    def choose_upstream(self, call):
        """Return the :class:`Choice` for the next attempt, with permit and lease.

        If all slots are taken, it waits for one a moment. Raises
        :class:`RequestRefused` if no upstream can be selected.
        """
        return self._choose_permitted(
            call,
            lambda denied_starts, now: self._chooser.choose_upstream(
                call, now, denied_starts
            ),
        )

    def choose_reachable(self, call, excluded_starts):
        """Return the :class:`Choice` of a reachable upstream, or None.

        Those of *excluded_starts* are not chosen.
        """
        return self._choose_permitted(
            call,
            lambda denied_starts, now: self._chooser.choose_reachable(
                call, excluded_starts | denied_starts, now
            ),
        )

    def has_reachable(self, call, excluded_starts):
        """Return whether an upstream that is not excluded is reachable."""
        return self._chooser.has_reachable(call, excluded_starts, self._read_clock())

    def give_back(self, choice):
        """Return the permit and the lease of a *choice* that was not used."""
        self._permits.give_back(choice.permit)
        self._slots.release(choice.lease)

    def finish(self, choice, was_rejected=False, was_abandoned=False):
        """End the lease of a *choice* whose request is over.

        *was_rejected* tells that the upstream turned it away, *was_abandoned* that this
        instance ended it: the upstream may then be at work for a moment longer.
        """
        if was_abandoned and choice.lease.id:
            eventlet.spawn_after(ABANDONED_HOLD_S, self._slots.release, choice.lease)
        else:
            self._slots.release(choice.lease, was_rejected)

    def _choose_permitted(self, call, choose):
        """Return the first choice of *choose* that gets permit and lease, or None.

        *choose* is called with the starts that were denied them, and the time. If it
        refuses the call, one of the choices without a free slot is waited for.
        """
        denied_starts = set()
        full = []
        while True:
            # Only here: a refusal while a permit or a lease is asked for ends the call.
            try:
                choice = choose(denied_starts, self._read_clock())
            except RequestRefused as error:
                if not full:
                    raise
                return self._wait_for_slot(call, full, error)
            if choice is None:
                return None
            permitted = self._get_permit(choice)
            if permitted is not None:
                leased = self._get_lease(call, permitted)
                if leased is not None:
                    return leased
                full.append(choice)
            denied_starts.add(choice.upstream.start)

    def _get_permit(self, choice):
        """Return *choice* with its permit, None without one."""
        permit = self._permits.acquire(choice.upstream, choice.is_urgent)
        if permit is None:
            return None
        now = self._read_clock()
        # The upstream may have left while the permit was asked for.
        if permit.id and not self._is_usable(choice.upstream, now):
            self._permits.give_back(permit)
            return None
        return dataclasses.replace(choice, permit=permit)

    def _get_lease(self, call, choice, wait_s=0.0):
        """Return *choice* with its lease, None if its permit had to be returned."""
        now = self._read_clock()
        lease = self._slots.acquire(choice.upstream, call.get_remaining_s(now), wait_s)
        if lease is None:
            self._permits.give_back(choice.permit)
            return None
        leased = dataclasses.replace(choice, lease=lease)
        now = self._read_clock()
        if lease.id and not self._is_usable(choice.upstream, now):
            self.give_back(leased)
            return None
        self._chooser.record_sent(choice.upstream, now)
        return leased

    def _wait_for_slot(self, call, full, error):
        """Return one of the choices in *full* if a slot becomes free in a moment.

        Raises :class:`RequestRefused` otherwise, caused by *error*.
        """
        permitted = self._get_permit(full[0])
        leased = permitted and self._get_lease(call, permitted, SLOT_WAIT_S)
        if leased is None:
            raise RequestRefused(
                ErrorKind.UPSTREAMS_LIMITED,
                f"all slots of {len(full)} brittle upstreams are taken",
                retry_after_s=FULL_RETRY_AFTER_S,
            ) from error
        return leased

    def _is_usable(self, upstream, now):
        is_listed = self._view.find_start(upstream.start) is not None
        return is_listed and self._view.accepts_work(upstream, now)

"""The fraction of the demand for a service that can be admitted."""

import math

from .room import MIN_WORK_S

MIN_FRACTION = 0.02
"""Fraction that is always admitted, to find out when capacity is back. It allows 0.05
extra sends per request served at 2.5 times capacity."""
MAX_TRIM = 2.0
"""Largest correction upwards, if upstreams are faster than their estimates."""
MIN_TRIM = 0.0001
HOLD_S = 1.0
"""Requests may be held back for this long after an upstream shed one, even if reports
show free slots: reports are up to a second old."""
FREE_SHARE = 0.5
"""With fewer busy slots the service counts as free, also while the fraction is still
below 1: with capacity free everything must be admitted."""
DEPTH = 2.0
"""Requests that should wait at the upstreams, per slot. The instances don't know of
each other's newest requests, and slots must not be idle meanwhile; a wait of two work
times stays within the latency goals, which are five times the work time."""
DEPTH_GAIN = 0.2
"""Proportional gain: change of the fraction for an empty queue. Smaller for old
reports, on which all instances would react too late, and together."""
TRIM_GAIN = 0.05
"""Integral gain over the age of reports. Over the time by which reports lag, the
fraction changes by no more than the 5% of capacity that may be lost."""
MAX_TRIM_PER_S = 0.5
FREE_TRIM_GAIN = 0.5
"""As *TRIM_GAIN*, while all slots are free: little is lost by sending too much then."""
MAX_FREE_TRIM_PER_S = 3.0
MIN_BUSY_SHARE = 0.95
"""Required goodput; with fewer busy slots the fraction grows faster."""
QUIET_S = 0.25
"""The fraction grows because of free slots only this long after the last shed request;
an upstream that sheds everything also reports free slots."""
SHED_TIME_CONSTANT_S = 0.5
"""Time in which the fraction falls by the share of sends that are shed. Overload is
noticed within the shortest deadline of 1 s."""
MIN_SENDS = 10.0
"""Fewest sends over which a shed request counts: one of few says little of the rate."""
WORK_TIME_CONSTANT_S = 1.0
"""Time over which work times are averaged. Those estimated from responses vary by a
factor of 3 while queues grow or shrink."""
FORGET_S = 1.0
"""Time constant with which the trim returns to 1, where the demand is known. With 5 s
and reports 1 s old, slots were idle for a second after queues had been full."""
SHED_FORGET_FACTOR = 10.0
"""How much faster the share of sends that are shed is forgotten than the rate of sends.
While an upstream sheds everything, callers must learn of it from the start."""
MAX_STEP_S = 0.5


class AdmissionLevel:
    """A proportional-integral controller of the queue depth at the upstreams.

    The fraction is the estimated capacity over the demand, times a learned trim. The
    trim corrects wrong estimates, and without news of other instances the unknown
    share of this one. It is adjusted by reported queues and by shed requests.
    """

    def __init__(self):
        self._trim = 1.0
        self._fraction = 1.0
        self._has_estimate = False
        self._work_s = 0.0
        self._averaged_s = 0.0
        self._updated_at = -math.inf
        self._shed_at = -math.inf
        self._sends = 0.0
        self._recent_sends = 0.0
        self._recent_sheds = 0.0
        self._sent_at = -math.inf

    def has_free_room(self, room, now):
        """Return whether requests may be sent without regard to others."""
        if now - self._shed_at <= HOLD_S:
            return False
        busy_share = room.running / room.slots
        return busy_share < (1.0 if self._fraction >= 1.0 else FREE_SHARE)

    def update_fraction(self, room, demand_per_s, now):
        """Return the fraction of the demand to admit now; above 1 with room left.

        *demand_per_s* is that of all instances, None if it is not known.
        """
        error = 1.0 - room.waiting / (DEPTH * room.slots)
        error = min(1.0, max(-1.0, error))
        self._integrate(room, error, now)
        per_demand = 1.0
        if demand_per_s and room.work_s > MIN_WORK_S:
            per_demand = room.slots / self._work_s / demand_per_s
        self._switch(per_demand)
        self._trim = max(self._trim, MIN_FRACTION / per_demand)
        gain = min(DEPTH_GAIN, DEPTH * room.work_s / (2.0 * max(0.05, room.age_s)))
        self._fraction = self._trim * per_demand * (1.0 + gain * error)
        return self._fraction

    def _switch(self, per_demand):
        """Keep the fraction if demand gets unknown; don't raise it if it gets known.

        The first news of demand don't count the callers that return yet, so that the
        estimated fraction is too high.
        """
        has_estimate = per_demand != 1.0
        if has_estimate != self._has_estimate:
            self._has_estimate = has_estimate
            self._trim = min(1.0, self._fraction / per_demand)
        if not has_estimate:
            self._trim = min(1.0, self._trim)

    def record_admitted(self, now):
        """Count a send: of an admitted request, or again of one that was shed."""
        self._decay_sends(now)
        self._sends += 1.0
        self._recent_sends += 1.0

    def record_shed(self, now):
        """Lower the fraction, as an upstream shed a request."""
        self._shed_at = now
        self.record_admitted(now)
        self._recent_sheds += 1.0
        step = 1.0 / max(MIN_SENDS, self._sends * SHED_TIME_CONSTANT_S)
        self._trim = max(MIN_TRIM, self._trim * (1.0 - step))

    def measure_accepted(self):
        """Return the fraction of recent sends that was not shed."""
        if self._recent_sends <= 0.0:
            return 1.0
        return 1.0 - self._recent_sheds / self._recent_sends

    def _integrate(self, room, error, now):
        step_s = min(MAX_STEP_S, max(0.0, now - self._updated_at))
        self._updated_at = now
        self._average_work(room.work_s, step_s)
        age_s = max(0.01, room.age_s)
        growth_per_s = min(MAX_TRIM_PER_S, TRIM_GAIN / age_s) * error
        if now - self._shed_at > QUIET_S:
            free_share = max(0.0, MIN_BUSY_SHARE - room.running / room.slots)
            growth_per_s += (
                min(MAX_FREE_TRIM_PER_S, FREE_TRIM_GAIN / age_s) * free_share
            )
        if self._has_estimate:
            growth_per_s -= math.log(self._trim) / FORGET_S
        trim = self._trim * math.exp(growth_per_s * step_s)
        self._trim = min(MAX_TRIM, max(MIN_TRIM, trim))

    def _average_work(self, work_s, step_s):
        if work_s <= MIN_WORK_S or self._work_s <= MIN_WORK_S:
            self._work_s = work_s
            self._averaged_s = 0.0
        self._averaged_s = min(WORK_TIME_CONSTANT_S, self._averaged_s + step_s)
        weight = min(1.0, step_s / max(0.001, self._averaged_s))
        self._work_s += weight * (work_s - self._work_s)

    def _decay_sends(self, now):
        """Decay the counts, so that they stay near the numbers in a second."""
        weight = math.exp(-max(0.0, now - self._sent_at))
        self._sends *= weight
        self._recent_sends *= weight**SHED_FORGET_FACTOR
        self._recent_sheds *= weight**SHED_FORGET_FACTOR
        self._sent_at = now

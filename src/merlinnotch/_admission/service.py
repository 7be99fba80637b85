"""Admission to one service."""

import random

from .._errors import ErrorKind
from .average import DemandAverage
from .decisions import Refuse
from .level import AdmissionLevel
from .policy import MIN_SHARE
from .rate import AdmissionRate
from .returns import ReturnSchedule
from .shares import TeamShares

UPDATE_INTERVAL_S = 0.02
"""Shares and fractions are computed this often at most; twice within the wait of a
request."""
LEAST_DEBT_SHARE = 0.5
"""Share of the largest debt that the least part of a rank may leave, so that the debt
of more urgent ranks does not lock it out, and its own does not lock them out."""
MIN_OWN_SHARE = 0.001


class ServiceAdmission:
    """The state of admission to one service, and the rate and kinds it admits."""

    def __init__(self, policy, generator=random):
        self._policy = policy
        self._generator = generator
        self._level = AdmissionLevel()
        self._rate = AdmissionRate()
        self._returns = ReturnSchedule()
        self._shares = TeamShares(())
        self._fractions = {}
        self._fraction = 1.0
        self._rows = None
        self._total_per_s = 0.0
        self._average = DemandAverage()
        self._updated_at = float("-inf")

    def has_free_room(self, room, now):
        """Return whether a request may be admitted without further computation."""
        return self._level.has_free_room(room, now)

    def update(self, room, demand, now):
        """Compute how many requests of each kind are admitted."""
        if 0.0 <= now - self._updated_at < UPDATE_INTERVAL_S:
            return
        self._updated_at = now
        if demand.rows is not self._rows:
            self._rows = demand.rows
            self._read_rows(demand, now)
        total_per_s = self._total_per_s
        known_per_s = total_per_s if demand.instance_count > 1 else None
        fraction = self._level.update_fraction(room, known_per_s, now)
        self._fraction = min(1.0, fraction)
        self._shares.divide(self._fraction * self._shares.total_per_s)
        self._fractions = self._policy.list_fractions(self._shares, self._fraction)
        # The order of the arguments makes NaN the smallest share.
        own_share = min(1.0, max(MIN_OWN_SHARE, demand.own_share))
        self._rate.refill(self._fraction * total_per_s * own_share, now)

    def _read_rows(self, demand, now):
        self._shares = TeamShares(demand.rows)
        self._total_per_s = self._shares.total_per_s
        if demand.instance_count <= 1:
            mean_rows = self._average.update(demand.rows, now)
            self._shares = TeamShares(mean_rows, self._average.window_s)

    def is_over_share(self, request):
        """Return whether *request* counts as above the share of its team."""
        return self._generator.random() < self._shares.get_excess(request.team)

    def admits(self, rank, is_over):
        """Return whether a new request of this kind is admitted at once."""
        fraction = self._get_fraction(rank, is_over)
        drawn = self._generator.random()
        if not is_over and drawn < min(fraction, MIN_SHARE * self._fraction):
            # The debt of more urgent ranks doesn't take the least part of a rank.
            return self._rate.allows_debt(max(fraction, LEAST_DEBT_SHARE))
        return drawn < fraction and self._rate.allows_debt(fraction)

    def has_token(self, rank, is_over):
        """Return whether the rate leaves room for a request that was held back."""
        return self._rate.has_token(self._get_fraction(rank, is_over))

    def estimate_wait_s(self, rank, is_over, ahead):
        """Return the seconds until the rate allows a request behind *ahead* others."""
        fraction = self._get_fraction(rank, is_over)
        return self._rate.estimate_wait_s(ahead, fraction)

    def _get_fraction(self, rank, is_over):
        return self._fractions.get((rank, is_over), self._fraction)

    def record_admitted(self, now):
        """Count an admitted request."""
        self._level.record_admitted(now)
        self._rate.take()

    def record_shed(self, now):
        """Record that an upstream shed a request."""
        self._level.record_shed(now)

    def book_return(self, rank, now):
        """Return the seconds until a refused caller should return, and book them."""
        per_s = self._rate.per_s * self._level.measure_accepted()
        return self._returns.book(rank, per_s, now)

    def refuse(self, request, room, now, reason):
        """Return the refusal of *request*, and book the return of its caller."""
        retry_after_s = self.book_return(request.rank, now)
        detail = (
            f"{reason}: rank {request.rank}, fraction {self._fraction:.2f},"
            f" {room.running:.0f} of {room.slots:.0f} slots, {room.waiting:.0f} wait,"
            f" {room.per_s:.1f}/s, wait {room.wait_s:.3f} s, age {room.age_s:.2f} s"
        )
        return Refuse(ErrorKind.OVERLOADED, retry_after_s, detail)

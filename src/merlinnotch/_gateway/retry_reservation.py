"""Reservation of further attempts."""

import enum


class RetryDenial(enum.StrEnum):
    """Why a call gets no further attempt, as logged in ``reasons``."""

    ATTEMPT_LIMIT = "attempt limit"
    NO_UPSTREAM = "no other upstream"
    NO_BUDGET = "no retry budget"


class RetryReserver:
    """Takes the next attempt of a call from the retry budget in advance.

    Without a reservation, an attempt that is given up may turn out to be the last one
    that the call could get.
    """

    def __init__(self, chooser, retry_budgets, read_clock):
        self._chooser = chooser
        self._retry_budgets = retry_budgets
        self._read_clock = read_clock

    def try_reserve(self, call, excluded_start=None, min_remaining=0.0):
        """Reserve an attempt of *call*, not on the upstream of *excluded_start*.

        It is only reserved if *min_remaining* more are left in the budget. Whether
        *call* may be sent again at all is not checked.

        Return None if it is reserved, otherwise the :class:`RetryDenial`.
        """
        if len(call.sent_starts) >= call.route.max_upstreams:
            return RetryDenial.ATTEMPT_LIMIT
        now = self._read_clock()
        if not self._chooser.has_candidate(call, now, excluded_start):
            return RetryDenial.NO_UPSTREAM
        if not call.retry_reserved:
            budget = self._retry_budgets.get(call.service)
            call.retry_reserved = budget.try_acquire(now, min_remaining)
        return None if call.retry_reserved else RetryDenial.NO_BUDGET

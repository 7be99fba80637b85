"""Reservation of further attempts."""

import dataclasses
import enum

from .._errors import ConnectFailed
from .attempt import CONNECT_TIMEOUT_S

MAX_CONNECTS = 2
"""Upstreams that are tried for one reservation. Meanwhile nothing is relayed."""


class RetryDenial(enum.StrEnum):
    """Why a call gets no further attempt, as logged in ``reasons``."""

    ATTEMPT_LIMIT = "attempt limit"
    NO_UPSTREAM = "no other upstream"
    NO_BUDGET = "no retry budget"


class RetryReserver:
    """Secures the next attempt of a call: its retry, an upstream and a connection.

    Without a reservation, an attempt that is given up may turn out to be the last one
    that the call could get. *chooser* is a :class:`PermittedChooser`. Where no upstream
    is reachable, a peer found by *relayer* takes the place of upstream and connection.
    """

    def __init__(self, chooser, retry_budgets, pool, prober, relayer, read_clock):
        self._chooser = chooser
        self._retry_budgets = retry_budgets
        self._pool = pool
        self._prober = prober
        self._relayer = relayer
        self._read_clock = read_clock

    def try_reserve(self, call, excluded_start=None, min_remaining=0.0):
        """Reserve an attempt of *call*, not on the upstream of *excluded_start*.

        It is only reserved if *min_remaining* more are left in the budget. Whether
        *call* may be sent again at all is not checked.

        Return None if it is reserved, otherwise the :class:`RetryDenial`.
        """
        if call.sends_left <= 0:
            return RetryDenial.ATTEMPT_LIMIT
        now = self._read_clock()
        budget = self._retry_budgets.get(call.service, now)
        if not call.retry_reserved and not budget.can_acquire(now, min_remaining):
            return RetryDenial.NO_BUDGET
        choice = self._connect(call, excluded_start)
        if choice is None and not self._can_relay(call, excluded_start):
            return RetryDenial.NO_UPSTREAM
        # The budget may have been used while the connection was opened.
        now = self._read_clock()
        if not call.retry_reserved and not budget.try_acquire(now, min_remaining):
            if choice is not None:
                self._discard(choice)
            return RetryDenial.NO_BUDGET
        call.retry_reserved = True
        call.reserved_choice = choice
        return None

    def take(self, call):
        """Return and clear the reserved :class:`Choice` of *call*, or None.

        One whose permit has expired is discarded.
        """
        choice = call.take_reserved_choice()
        if choice is None or not choice.permit.is_expired(self._read_clock()):
            return choice
        self._discard(choice)
        return None

    def drop(self, call):
        """Discard the reserved choice of *call*, if there is one."""
        choice = call.take_reserved_choice()
        if choice is not None:
            self._discard(choice)

    def _discard(self, choice):
        choice.connection.close()
        self._chooser.give_back(choice)

    def _can_relay(self, call, excluded_start):
        if self._chooser.has_reachable(call, {excluded_start}):
            return False
        return self._relayer.find_peer(call) is not None

    def _connect(self, call, excluded_start):
        """Return a :class:`Choice` with its connection, or None."""
        excluded_starts = {excluded_start}
        for _ in range(MAX_CONNECTS):
            choice = self._chooser.choose_reachable(call, excluded_starts)
            if choice is None:
                return None
            upstream = choice.upstream
            try:
                connection = self._pool.acquire(
                    upstream.start, upstream.address, CONNECT_TIMEOUT_S
                )
            except ConnectFailed as error:
                self._chooser.give_back(choice)
                self._prober.mark_unreachable(upstream, error)
                excluded_starts.add(upstream.start)
                continue
            return dataclasses.replace(choice, connection=connection)
        return None

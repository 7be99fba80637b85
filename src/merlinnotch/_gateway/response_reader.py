"""Waiting for upstreams that are silent."""

import logging

from .._errors import ConnectionTimedOut
from .read_limits import LimitKind, ReadLimit, ReadLimitReached, read_until

logger = logging.getLogger("merlinnotch")

LAST_READ_S = 0.001
"""Wait of the last read before an attempt is ended. It returns what has arrived while
connections were opened."""


class ResponseReader:
    """Reads responses, and ends attempts at upstreams that have fallen silent.

    A silent upstream may still answer. Its attempt is therefore ended before the call's
    deadline only if another attempt has been reserved.

    *reachability_checker* is a :class:`ReachabilityChecker`, *retry_reserver* a
    :class:`RetryReserver`.
    """

    def __init__(self, reachability_checker, retry_reserver, read_clock):
        self._reachability_checker = reachability_checker
        self._retry_reserver = retry_reserver
        self._read_clock = read_clock

    def read(self, call, upstream, read_next, check_interval_s, limit):
        """Return the result of *read_next*, which is called with a time limit.

        Raises :class:`ReadLimitReached` at the deadline of *call*. If another attempt
        could be reserved, also at the :class:`ReadLimit` *limit*, or after a period of
        *check_interval_s* seconds without data if *upstream* is then unreachable.
        Without a reservation it is raised if *upstream* seems to have ended at *limit*,
        so that the caller can retry.
        """
        deadline = ReadLimit(call.deadline, LimitKind.DEADLINE)
        if not call.is_retryable:
            return read_until(read_next, deadline)
        is_kept = False
        while True:
            next_check_at = self._compute_next_check(check_interval_s, limit)
            if next_check_at >= deadline.at:
                return read_until(read_next, deadline)
            try:
                return read_next(next_check_at)
            except ConnectionTimedOut:
                reached = self._find_reached_limit(upstream, limit)
            if reached is None:
                continue
            denial = self._retry_reserver.try_reserve(call, upstream.start)
            if denial is None or self._has_ended(upstream, limit):
                return self._read_last(call, read_next, reached)
            if not is_kept:
                _log_kept(call, upstream, reached, denial)
            is_kept = True

    def _compute_next_check(self, check_interval_s, limit):
        now = self._read_clock()
        next_check_at = now + check_interval_s
        return min(next_check_at, limit.at) if limit.at > now else next_check_at

    def _find_reached_limit(self, upstream, limit):
        """Return the :class:`ReadLimitReached` for a silent upstream, or None."""
        if self._read_clock() >= limit.at:
            return ReadLimitReached(limit.kind)
        check = self._reachability_checker.check(upstream)
        if check.is_reachable:
            return None
        return ReadLimitReached(LimitKind.UNREACHABLE, check.detail)

    def _has_ended(self, upstream, limit):
        is_late = self._read_clock() >= limit.at
        return is_late and self._reachability_checker.has_ended(upstream)

    def _read_last(self, call, read_next, reached):
        """Return what has arrived meanwhile, or raise *reached*."""
        try:
            data = read_next(self._read_clock() + LAST_READ_S)
        except ConnectionTimedOut as error:
            raise reached from error
        self._retry_reserver.drop(call)
        return data


def _log_kept(call, upstream, reached, denial):
    fields = {
        "request": call.headers.attempt_id,
        "upstream": upstream.id,
        "limit": str(reached.kind),
        "reason": str(denial),
    }
    logger.info("silent upstream kept", extra=fields)

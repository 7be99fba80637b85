"""Reachability checks for upstreams that stopped sending."""

from dataclasses import dataclass

from .._errors import ConnectFailed, ConnectRefused

CONNECT_TIMEOUT_S = 0.2
CONNECT_ATTEMPTS = 2
"""More than one, because a single lost SYN delays a connection by a second."""
CHECK_TTL_S = 0.5
"""How long the result of a check is reused for other requests to the upstream."""
CHECK_INTERVAL_SHARE = 0.4
"""Part of a latency goal to wait before a check. The rest has to suffice for the check
and for the first event from another upstream."""
MIN_CHECK_INTERVAL_S = 0.3


@dataclass(frozen=True)
class CheckResult:
    """Whether an upstream was reachable at *checked_at*; *detail* says why not.

    *is_refused* is set if it was reachable, but refused the new connection.
    """

    checked_at: float
    is_reachable: bool
    detail: str = ""
    is_refused: bool = False


class ReachabilityChecker:
    """Detects by new connections whether a silent upstream is still reachable.

    A network partition sends no reset, so its streams stop like those of a busy
    engine. A new connection distinguishes the two without load on the engine, and early
    enough to continue the stream on another upstream within its latency goal.

    A refused connection shows that the host answers. The upstream is then leaving or at
    its connection limit: if its process had ended, the open connection would be reset,
    unless the host was restarted.
    """

    def __init__(self, pool, view, read_clock):
        self._pool = pool
        self._view = view
        self._read_clock = read_clock
        self._results = {}

    def check(self, upstream):
        """Return a :class:`CheckResult` for *upstream*, at most CHECK_TTL_S old."""
        now = self._read_clock()
        # Without a check, open streams continue.
        if not self._view.accepts_checks(upstream, now):
            return CheckResult(now, True)
        result = self._results.get(upstream.start)
        if result is None or now - result.checked_at >= CHECK_TTL_S:
            self._evict_expired(now)
            result = self._connect(upstream)
            self._results[upstream.start] = result
        return result

    def has_ended(self, upstream):
        """Return whether no further data is to be expected from a silent *upstream*.

        It is then unreachable, or has left the list and refuses connections.
        """
        result = self.check(upstream)
        if not result.is_reachable:
            return True
        return result.is_refused and self._view.find_start(upstream.start) is None

    def _connect(self, upstream):
        failures = []
        for _ in range(CONNECT_ATTEMPTS):
            try:
                connection = self._pool.acquire(
                    upstream.start, upstream.address, CONNECT_TIMEOUT_S, force_new=True
                )
            except ConnectRefused:
                return CheckResult(self._read_clock(), True, is_refused=True)
            except ConnectFailed as error:
                failures.append(str(error))
                continue
            self._pool.release(upstream.start, connection)
            return CheckResult(self._read_clock(), True)
        return CheckResult(self._read_clock(), False, "; ".join(failures))

    def _evict_expired(self, now):
        expired = [
            start
            for start, result in self._results.items()
            if now - result.checked_at >= CHECK_TTL_S
        ]
        for start in expired:
            del self._results[start]


def compute_check_interval_s(goal_s):
    """Return the seconds of silence before a check, for the latency goal *goal_s*."""
    return max(MIN_CHECK_INTERVAL_S, CHECK_INTERVAL_SHARE * goal_s)

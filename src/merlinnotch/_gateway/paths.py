"""Whether upstreams that fell silent can still be reached."""

from dataclasses import dataclass

from .._errors import ConnectFailed, ConnectionSilent

CONNECT_S = 0.2
TRIES = 2
"""One lost packet holds up a connection for a second."""
KNOWN_S = 0.5
"""How long the result of a check stands for the other requests at an upstream."""
CHECK_SHARE = 0.4
"""Part of the time in which a sign of life is wanted that passes before a check. What
is left has to do for the check and for the first event from another upstream."""
MIN_CHECK_S = 0.3


@dataclass(frozen=True)
class _Check:
    at: float
    is_open: bool


class PathChecker:
    """Connects to an upstream to find out whether it can still be reached.

    A path that is cut tells nobody: the streams on it only fall silent, as those of a
    busy engine do. A new connection tells the two apart at no cost to the engine, early
    enough for callers not to notice that their stream went on elsewhere.
    """

    def __init__(self, pool, view, read_clock):
        self._pool = pool
        self._view = view
        self._read_clock = read_clock
        self._checks = {}

    def read(self, upstream, read, every_s, until):
        """Return ``read(instant)``, as soon as anything came.

        Raises :class:`ConnectionSilent` at the instant *until*, or when nothing came
        for *every_s* seconds and *upstream* can't be reached any more.
        """
        while True:
            step = min(until, self._read_clock() + every_s)
            try:
                return read(step)
            except ConnectionSilent:
                if step >= until or not self._is_open(upstream):
                    raise

    def _is_open(self, upstream):
        # Nothing is sent to an evacuated zone; what is under way there goes on.
        if self._view.is_zone_evacuated(upstream.zone):
            return True
        now = self._read_clock()
        known = self._checks.get(upstream.start)
        if known is None or now - known.at >= KNOWN_S:
            self._forget_old(now)
            known = _Check(self._read_clock(), self._connect(upstream))
            self._checks[upstream.start] = known
        return known.is_open

    def _connect(self, upstream):
        for _ in range(TRIES):
            try:
                connection = self._pool.take(
                    upstream.start, upstream.address, CONNECT_S, fresh=True
                )
            except ConnectFailed:
                continue
            self._pool.give_back(upstream.start, connection)
            return True
        return False

    def _forget_old(self, now):
        old = [s for s, check in self._checks.items() if now - check.at >= KNOWN_S]
        for start in old:
            del self._checks[start]


def choose_check_s(wanted_s):
    """Return how long to wait before a check, where a sign is due in *wanted_s*."""
    return max(MIN_CHECK_S, CHECK_SHARE * wanted_s)

"""How common prompt parts are in the requests that upstreams survive."""

import enum

WINDOW_S = 60.0
"""Uses older than this don't count: upstream software may have changed since."""
MAX_COUNTED = 4096
"""Limit on the parts counted in half a window. Further ones are not counted, so that a
caller that makes up parts doesn't displace those in use."""
COMMON_SHARE = 0.5
"""Share of the requests from which a part is common."""
MIN_COMMON_USES = 10
"""No part is common with fewer uses."""


class PartUsage(enum.IntEnum):
    """How common a part is. The values are sent to other instances."""

    UNUSED = 0
    USED = 1
    COMMON = 2


class PartUsageCounter:
    """Counts the uses of prompt parts in one window, in two halves."""

    def __init__(self):
        self._half_began_at = 0.0
        self._current = {}
        self._previous = {}
        self._current_total = 0
        self._previous_total = 0

    def record(self, parts, now):
        """Record that an upstream survived a request with *parts*."""
        self._advance(now)
        self._current_total += 1
        for part in parts:
            if part in self._current or len(self._current) < MAX_COUNTED:
                self._current[part] = self._current.get(part, 0) + 1

    def classify(self, part, now):
        """Return the :class:`PartUsage` of *part*."""
        self._advance(now)
        uses = self._current.get(part, 0) + self._previous.get(part, 0)
        total = self._current_total + self._previous_total
        if uses >= MIN_COMMON_USES and uses >= COMMON_SHARE * total:
            return PartUsage.COMMON
        return PartUsage.USED if uses else PartUsage.UNUSED

    def _advance(self, now):
        elapsed_s = now - self._half_began_at
        if elapsed_s < WINDOW_S / 2:
            return
        is_next = elapsed_s < WINDOW_S
        self._previous = self._current if is_next else {}
        self._previous_total = self._current_total if is_next else 0
        self._current = {}
        self._current_total = 0
        self._half_began_at = now

"""Averages of the demand that one instance observes."""

from .demand import DemandRow
from .shares import MAX_ROWS

WINDOW_S = 10.0
"""Time over which demand is averaged. In a large fleet an instance sees one request a
second, and a team must be seen often to be distinguished from others."""
MIN_PER_S = 0.005


class DemandAverage:
    """The mean of rows of demand over the last seconds."""

    def __init__(self):
        self._rates = {}
        self._updated_at = None
        self.window_s = 0.0

    def update(self, rows, now):
        """Add *rows*, which are those since the last call; return mean rows."""
        elapsed_s = now - self._updated_at if self._updated_at is not None else 1.0
        elapsed_s = min(WINDOW_S, max(0.001, elapsed_s))
        self._updated_at = now
        self.window_s = min(WINDOW_S, self.window_s + elapsed_s)
        weight = elapsed_s / self.window_s
        rates = {kind: per_s * (1.0 - weight) for kind, per_s in self._rates.items()}
        for row in rows[:MAX_ROWS]:
            kind = (row.team, row.rank)
            rates[kind] = rates.get(kind, 0.0) + weight * row.per_s
        kept = [(kind, per_s) for kind, per_s in rates.items() if per_s >= MIN_PER_S]
        self._rates = dict(kept[-MAX_ROWS:])
        return tuple(DemandRow(*kind, per_s) for kind, per_s in self._rates.items())

"""How far apart the events of a stream are where nothing holds them up."""

KEPT = 32
MIN_GAP_S = 0.0005
"""Events that were sent together and came together say nothing of the pace."""
DRIFT = 1.0005
"""How much the base may rise with each gap seen, so that one that was too small
by accident is forgotten within a few thousand."""
MOST = 20.0


class GapBook:
    """The unloaded gap between events by model, learned as the least that is usual.

    The base is the lowest quarter of the last gaps, and never more than a
    little above the lowest base before: load only adds to gaps.
    """

    def __init__(self):
        self._bases = {}
        self._recent = {}

    def note(self, model, seconds):
        """Take one gap; return how many times the base it is, from 1 up."""
        if seconds < MIN_GAP_S:
            return 1.0
        recent = self._recent.setdefault(model, [])
        recent.append(seconds)
        del recent[:-KEPT]
        low = sorted(recent)[len(recent) // 4]
        base = min(low, self._bases.get(model, low) * DRIFT)
        self._bases[model] = base
        return min(MOST, max(1.0, seconds / base))

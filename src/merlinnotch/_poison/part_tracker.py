"""What one instance knows of prompt parts that may crash upstreams."""

import collections

from .part_attribution import PartAttributor
from .part_usage import PartUsageCounter

MAX_SUSPECTED = 4096
"""Limit on the parts for which the time of the first loss is kept."""


class PartTracker:
    """Counts the uses of prompt parts, and clears suspects that upstreams survive.

    Only runs that began after the first loss of a part clear it: a part that was
    harmless before may be a cause of crashes now. *attributor* is the
    :class:`PartAttributor`, which gets the losses of all instances only where this one
    evaluates them.
    """

    def __init__(self, blocked):
        self.attributor = PartAttributor(blocked)
        self._usage = PartUsageCounter()
        self._suspected_since = collections.OrderedDict()

    def classify(self, parts, now):
        """Return the :class:`PartUsage` of each of *parts*."""
        return [self._usage.classify(part, now) for part in parts]

    def record_survived(self, run, now):
        """Record that an upstream survived a run; return the parts that this clears."""
        if run.has_survived:
            return []
        run.has_survived = True
        self._usage.record(run.parts, now)
        if run.begun_at is None:
            return []
        return [
            part
            for part in run.parts
            if run.begun_at > self._suspected_since.get(part, run.begun_at)
        ]

    def suspect(self, losses, now):
        """Record the time of the first loss of each part in *losses*."""
        for loss in losses:
            for part in loss.parts:
                self._suspected_since.setdefault(part, now)
        while len(self._suspected_since) > MAX_SUSPECTED:
            self._suspected_since.popitem(last=False)

    def record_loss(self, loss, usages, now):
        """Record a :class:`Loss` that an instance reported with its *usages*.

        A part counts as used if it was used here.
        """
        self.suspect([loss], now)
        own_usages = self.classify(loss.parts, now)
        known = [max(pair) for pair in zip(usages, own_usages, strict=True)]
        self.attributor.record_loss(loss, known, now)

    def clear(self, part):
        """Drop what is held against a part, unless it is blocked."""
        self._suspected_since.pop(part, None)
        self.attributor.clear(part)

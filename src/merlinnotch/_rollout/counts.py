"""What is counted of answers while a version is brought in."""

import collections
from dataclasses import dataclass, field, replace

from .tallies import TallyBook

RECENT = 24
"""Times from just before an order that an instance keeps for a service. Where requests
are rare they are what the new version is compared with at first; all instances tell
theirs at once, in two messages each."""


@dataclass(frozen=True)
class AnswerCounts:
    """Answers by :class:`TallyKey`, and how long they took by :class:`TimeKey`."""

    tallies: TallyBook
    times: TallyBook
    _recent: dict = field(default_factory=dict)

    @classmethod
    def start(cls, incarnation):
        """Return empty counts of the process *incarnation*."""
        return cls(TallyBook(incarnation), TallyBook(incarnation))

    @property
    def incarnation(self):
        """The name of this process."""
        return self.tallies.incarnation

    def keep_time(self, key):
        """Keep a time from outside a roll-out for the next one."""
        empty = collections.deque(maxlen=RECENT)
        self._recent.setdefault(key.service, empty).append(key)

    def note_time(self, key):
        """Count a time in a roll-out, and those kept from before it."""
        for earlier in self._recent.pop(key.service, ()):
            self.times.note(replace(earlier, order=key.order))
        self.times.note(key)

    def forget_before(self, order):
        """Drop the counts of earlier orders for the same service."""
        self.tallies.forget_before(order)
        self.times.forget_before(order)

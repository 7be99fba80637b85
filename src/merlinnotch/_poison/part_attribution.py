"""Identification of the prompt parts that crash upstreams.

A part is a suspect if requests with it were running when their upstreams ended. The
other parts of these requests are suspects too, until an upstream survives a request
with them.
"""

import collections
from dataclasses import dataclass

from .attribution import LOSS_RETENTION_S
from .part_evidence import (
    MIN_EARLY_PART_LOSSES,
    Evidence,
    PartLoss,
    PartSuspect,
    explains,
)

MAX_TIED_LOSSES = 7
"""Parts that always come together can't be distinguished. One is blocked once they
have this many losses; until then a request with only one of them may clear it."""
MAX_ENDED = 1024
"""Limit on the upstreams that ended which are kept."""
MAX_ACQUITTED = 64
"""Limit on the parts kept that were acquitted. If they are blocked again they are not
acquitted again, so that two parts don't acquit each other in turn."""
MAX_SUSPECTS = 4096
"""Limit on the suspects kept. Those with a single loss are dropped first."""
MAX_REQUESTS = 16
"""Limit on the requests kept for a part and an upstream that ended."""


@dataclass(frozen=True)
class PartVerdict:
    """A part that is now blocked, and the *starts* of the upstreams that it crashed.

    *acquitted* are the parts whose blocks are to be lifted, as it explains all that
    they were blocked for.
    """

    part: bytes
    starts: tuple
    acquitted: tuple


class PartAttributor:
    """Blocks the prompt parts that crash upstreams, by the losses of all instances.

    *blocked* is the :class:`BlockList` to which parts are added. What a blocked part
    accounts for doesn't count against others.
    """

    def __init__(self, blocked):
        self._blocked = blocked
        self._suspects = collections.OrderedDict()
        self._ended_at = collections.OrderedDict()
        self._request_starts = collections.OrderedDict()
        self._acquitted = collections.deque(maxlen=MAX_ACQUITTED)

    def record_loss(self, loss, usages, now):
        """Record a :class:`Loss`; *usages* has the :class:`PartUsage` of its parts."""
        self._ended_at.setdefault(loss.start, now)
        if len(self._ended_at) > MAX_ENDED:
            self._ended_at.popitem(last=False)
        for depth, (part, usage) in enumerate(zip(loss.parts, usages, strict=True)):
            suspect = self._get_updated_suspect(part, now)
            suspect.depth = depth
            suspect.usage = max(suspect.usage, usage)
            part_loss = suspect.losses.setdefault(loss.start, PartLoss())
            if loss.run_time_s is not None:
                known_s = part_loss.run_time_s or 0.0
                part_loss.run_time_s = max(known_s, loss.run_time_s)
            if len(part_loss.requests) < MAX_REQUESTS:
                part_loss.requests.add(loss.fingerprint)

    def clear(self, part):
        """Drop the losses of a part that an upstream survived, unless it is blocked."""
        if part not in self._blocked:
            self._suspects.pop(part, None)

    def attribute(self, fingerprint, starts):
        """Attribute the end of the upstreams *starts* to what was blocked.

        *fingerprint* is that of a part or of a request. A request may have crashed them
        by one of its parts, so they still count against those.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            for start in starts:
                self._request_starts[start] = None
            while len(self._request_starts) > MAX_ENDED:
                self._request_starts.popitem(last=False)
            return
        for start in starts:
            suspect.losses.setdefault(start, PartLoss())
        suspect.blocked_starts.update(suspect.losses)

    def block_culprits(self, now):
        """Block the parts found; return a :class:`PartVerdict` for each.

        The caller lifts the blocks of those that are acquitted.
        """
        verdicts = []
        while (part := self._find_crashing_part()) is not None:
            suspect = self._suspects[part]
            acquitted = tuple(self._find_explained(suspect, self._find_blocked()))
            for other in acquitted:
                self._blocked.remove(other)
                del self._suspects[other]
                self._acquitted.append(other)
            self._blocked.add(part, now)
            starts = tuple(suspect.possible_starts)
            self.attribute(part, starts)
            verdicts.append(PartVerdict(part, starts, acquitted))
        return verdicts

    def _find_blocked(self):
        """Return the blocked suspects by part."""
        return {
            part: suspect
            for part, suspect in self._suspects.items()
            if part in self._blocked
        }

    def _find_crashing_part(self):
        blocked = self._find_blocked()
        evidence = {
            part: self._select_evidence(suspect, blocked)
            for part, suspect in self._suspects.items()
            if part not in blocked and len(suspect.losses) >= MIN_EARLY_PART_LOSSES
        }
        sufficient = [
            part
            for part, found in evidence.items()
            if found is not None and found.is_sufficient()
        ]
        part = max(sufficient, key=lambda p: evidence[p].rank(), default=None)
        if part is None or _is_tied(part, evidence):
            return None
        return part

    def _select_evidence(self, suspect, blocked):
        """Return the :class:`Evidence` against a part, None if there is no new loss.

        *blocked* are the blocked suspects by part.
        """
        explained = set(self._find_explained(suspect, blocked))
        attributed = set()
        open_starts = suspect.possible_starts - suspect.blocked_starts
        for part, other in blocked.items():
            # A request that was under way may crash an upstream after the block.
            crashed_starts = other.possible_starts | other.blocked_starts
            open_starts -= crashed_starts
            if part not in explained:
                attributed |= crashed_starts
        if not open_starts:
            return None
        losses = {
            start: suspect.losses[start]
            for start in suspect.possible_starts - attributed
        }
        since = min(self._ended_at.get(start, 0.0) for start in losses)
        explained_starts = attributed | (self._request_starts.keys() - losses.keys())
        end_count = sum(
            ended_at >= since and start not in explained_starts
            for start, ended_at in self._ended_at.items()
        )
        return Evidence(losses, suspect.usage, suspect.depth, end_count)

    def _find_explained(self, suspect, blocked):
        """Yield the blocked parts whose losses *suspect* explains at least as well."""
        for part, other in blocked.items():
            if part not in self._acquitted and explains(suspect, other):
                yield part

    def _get_updated_suspect(self, part, now):
        self._drop_old(now)
        suspect = self._suspects.setdefault(part, PartSuspect())
        suspect.updated_at = now
        self._suspects.move_to_end(part)
        if len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[self._choose_surplus()]
        return suspect

    def _drop_old(self, now):
        while self._suspects:
            part, suspect = next(iter(self._suspects.items()))
            if now - suspect.updated_at <= LOSS_RETENTION_S:
                return
            del self._suspects[part]

    def _choose_surplus(self):
        oldest = next(iter(self._suspects))
        return next(
            (p for p, suspect in self._suspects.items() if len(suspect.losses) < 2),
            oldest,
        )


def _is_tied(part, evidence):
    """Return whether another part has the same losses, which are still few."""
    own = evidence[part]
    if len(own.losses) >= MAX_TIED_LOSSES:
        return False
    return any(
        other is not None and own.is_equal_to(other)
        for other_part, other in evidence.items()
        if other_part != part
    )

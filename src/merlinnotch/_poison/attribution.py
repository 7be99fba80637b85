"""Identification of the requests that crash upstreams.

A loss is the end of an upstream while a request ran there. Whether the upstream crashed
or ended for another reason isn't known.
"""

import collections
from dataclasses import dataclass, field

from .blocked import BLOCK_S

CRASH_WINDOW_S = 0.5
"""A loss is early if the upstream ended within this time of the start of the run, see
:attr:`Run.begun_at`. Most other requests on a crashed upstream began earlier."""
MIN_EARLY_LOSSES = 3
"""A request is blocked once it has this many early losses. Requests that are retried
beside a crashing one have some too."""
MIN_LOSSES = 5
"""A request is blocked once it has this many losses, early or not: an upstream may end
before it is known that the run began. A request that only shares its upstreams with
the one that crashes them seldom has that many."""
LOSS_RETENTION_S = 2 * BLOCK_S
"""How long the losses of a request count, so that one more loss after its block has
ended renews the block. The time restarts with each loss."""
MAX_SUSPECTS = 4096
"""Limit on the suspects kept. The least recently updated are dropped first."""


@dataclass
class Suspect:
    """A request that was on upstreams when they ended.

    *losses* maps the start of each upstream to the longest time in seconds that the
    request had run there, or to None if that isn't known. *blocked_starts* are the
    starts for which the request was blocked before.
    """

    losses: dict = field(default_factory=dict)
    blocked_starts: set = field(default_factory=set)
    updated_at: float = 0.0

    def count_early_losses(self):
        """Return the number of early losses."""
        return sum(1 for run_time_s in self.losses.values() if is_early(run_time_s))

    def exceeds_chance(self):
        """Return whether the losses are too many to be chance."""
        return (
            self.count_early_losses() >= MIN_EARLY_LOSSES
            or len(self.losses) >= MIN_LOSSES
        )

    def has_unattributed_loss(self, attributed):
        """Return whether a loss is attributed to no blocked request.

        *attributed* are the starts that blocked requests lost. Losses for which this
        request was blocked before don't count again.
        """
        return not self.losses.keys() <= attributed | self.blocked_starts

    def rank(self):
        """Return a sort key, greatest for the most likely crashing request."""
        times = [
            run_time_s for run_time_s in self.losses.values() if is_early(run_time_s)
        ]
        mean_s = sum(times) / len(times) if times else CRASH_WINDOW_S
        return len(self.losses), len(times), -mean_s


class CrashAttributor:
    """Blocks the requests that crash upstreams, by the losses of all instances.

    Requests that run beside a crashing one are retried with it, and have a loss at the
    next upstream as well. The request that accounts for the most losses is therefore
    blocked first, and its losses don't count against the others. A request that gets a
    complete answer is cleared, as it didn't crash that upstream.

    *blocked* is the :class:`BlockList` to which requests are added. After a block has
    ended, one more loss is enough to block the request again.
    """

    def __init__(self, blocked):
        self._blocked = blocked
        self._suspects = collections.OrderedDict()

    def record_loss(self, loss, now):
        """Record a :class:`Loss`.

        Of several runs on one upstream the longest counts, as the upstream survived the
        request for that long.
        """
        suspect = self._get_updated_suspect(loss.fingerprint, now)
        known_s = suspect.losses.get(loss.start)
        if known_s is None or (
            loss.run_time_s is not None and loss.run_time_s > known_s
        ):
            suspect.losses[loss.start] = loss.run_time_s

    def clear(self, fingerprint):
        """Drop the losses of a request that was answered, unless it is blocked."""
        if fingerprint not in self._blocked:
            self._suspects.pop(fingerprint, None)

    def attribute(self, fingerprint, starts, now):
        """Attribute the end of the upstreams *starts*, and its losses, to a request.

        The caller blocks the request.
        """
        suspect = self._get_updated_suspect(fingerprint, now)
        for start in starts:
            suspect.losses.setdefault(start, None)
        suspect.blocked_starts.update(suspect.losses)

    def block_culprits(self, now):
        """Block the requests found; return (fingerprint, starts) for each."""
        crashing_requests = []
        while (fingerprint := self._find_crashing_request()) is not None:
            suspect = self._suspects[fingerprint]
            self._blocked.add(fingerprint, now)
            self.attribute(fingerprint, (), now)
            crashing_requests.append((fingerprint, tuple(suspect.losses)))
        return crashing_requests

    def _find_crashing_request(self):
        attributed = {
            start
            for fingerprint, suspect in self._suspects.items()
            if fingerprint in self._blocked
            for start in suspect.losses
        }
        candidates = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.exceeds_chance()
            and suspect.has_unattributed_loss(attributed)
            and fingerprint not in self._blocked
        ]
        return max(
            candidates,
            key=lambda candidate: self._suspects[candidate].rank(),
            default=None,
        )

    def _get_updated_suspect(self, fingerprint, now):
        suspect = self._suspects.setdefault(fingerprint, Suspect())
        suspect.updated_at = now
        self._suspects.move_to_end(fingerprint)
        self._drop_old(now)
        return suspect

    def _drop_old(self, now):
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        while self._suspects:
            fingerprint, suspect = next(iter(self._suspects.items()))
            if now - suspect.updated_at <= LOSS_RETENTION_S:
                return
            del self._suspects[fingerprint]


def is_early(run_time_s):
    """Return whether an upstream ended soon after the start of a run."""
    return run_time_s is not None and run_time_s <= CRASH_WINDOW_S

"""What is held against a prompt part that may crash upstreams."""

from dataclasses import dataclass, field

from .attribution import CRASH_WINDOW_S, MIN_LOSSES, is_early
from .part_usage import PartUsage

MIN_EARLY_PART_LOSSES = 4
"""A part is blocked once it has this many early losses. It takes one more than a
request, as a block of a part refuses the requests of many callers."""
MIN_EXPLAINED_SHARE = 0.5
"""Least share of the upstreams that ended since the first loss of a part, and for which
no other part accounts, that the part must explain to be blocked. Where upstreams end
for other reasons, a part explains few of them."""
MIN_SURPLUS_LOSSES = 2
"""A part explains another one's losses if it has this many more."""


@dataclass
class PartLoss:
    """The runs with a part on an upstream that ended.

    *run_time_s* is that of the longest run, None if no run time is known. *requests*
    are the fingerprints of the requests.
    """

    run_time_s: float | None = None
    requests: set = field(default_factory=set)

    @property
    def may_have_crashed(self):
        """Whether one of the runs may have crashed the upstream as it began."""
        return self.run_time_s is None or is_early(self.run_time_s)


@dataclass
class PartSuspect:
    """A prompt part that was on upstreams when they ended.

    *losses* maps the start of each upstream to a :class:`PartLoss`. *usage* is how
    common the part was before the losses, *depth* its latest position in a prompt.
    *blocked_starts* are the starts for which the part was blocked before.
    """

    losses: dict = field(default_factory=dict)
    usage: PartUsage = PartUsage.UNUSED
    depth: int = 0
    blocked_starts: set = field(default_factory=set)
    updated_at: float = 0.0

    @property
    def possible_starts(self):
        """The starts of the upstreams that the part may have crashed."""
        return {s for s, loss in self.losses.items() if loss.may_have_crashed}


@dataclass(frozen=True)
class Evidence:
    """The losses that a part may have caused, and what is known of the part.

    *end_count* is how many upstreams ended since the first of the losses for which no
    other part and no blocked request accounts.
    """

    losses: dict
    usage: PartUsage
    depth: int
    end_count: int

    @property
    def requests(self):
        """Fingerprints of the requests with the part that were lost."""
        return set().union(*(loss.requests for loss in self.losses.values()))

    def is_sufficient(self):
        """Return whether the losses are too many to be chance."""
        early_count = sum(is_early(loss.run_time_s) for loss in self.losses.values())
        if self._is_from_one_request():
            return False
        if len(self.losses) < MIN_EXPLAINED_SHARE * self.end_count:
            return False
        if self.usage is PartUsage.COMMON:
            # Most requests are lost with it, whatever makes upstreams end.
            return False
        if self.usage is PartUsage.USED:
            return (
                early_count >= MIN_EARLY_PART_LOSSES and len(self.losses) >= MIN_LOSSES
            )
        return early_count >= MIN_EARLY_PART_LOSSES or len(self.losses) >= MIN_LOSSES

    def is_equal_to(self, other):
        """Return whether *other* explains the same losses of the same requests."""
        return (
            self.usage == other.usage
            and self.losses.keys() == other.losses.keys()
            and self.requests == other.requests
        )

    def rank(self):
        """Return a sort key, greatest for the most likely crashing part."""
        is_unused = self.usage is PartUsage.UNUSED
        mean_s, request_count = compute_narrowness(self.losses)
        return is_unused, len(self.losses), -mean_s, -request_count, self.depth

    def _is_from_one_request(self):
        """Return whether one request accounts for all losses of the part."""
        return bool(set.intersection(*(loss.requests for loss in self.losses.values())))


def explains(suspect, other):
    """Return whether *suspect* was lost wherever *other* was, and is as likely."""
    starts = other.blocked_starts
    if not starts or not starts < suspect.possible_starts:
        return False
    if len(suspect.possible_starts) - len(starts) >= MIN_SURPLUS_LOSSES:
        return True
    own_losses = {start: suspect.losses[start] for start in starts}
    other_losses = {start: other.losses[start] for start in starts}
    return compute_narrowness(own_losses) <= compute_narrowness(other_losses)


def compute_narrowness(losses):
    """Return a sort key for the same losses of several parts, least for the culprit.

    The culprit's runs are those that began last, and other parts were also in requests
    that crashed nothing by themselves.
    """
    times = [loss.run_time_s for loss in losses.values()]
    known = [CRASH_WINDOW_S / 2 if time_s is None else time_s for time_s in times]
    requests = set().union(*(loss.requests for loss in losses.values()))
    return sum(known) / len(known), len(requests)

"""Compares ways to keep an upstream's limit over all instances.

Prints for each way and load the most requests in four seconds against what is allowed,
the share of the limit that is used, and the messages per second.
"""

import collections
import functools
import sys

from merlinnotch._rate_limits import (
    LimitBook,
    LimitReading,
    PermitIssuer,
    PermitRequest,
    PermitSchedule,
    compute_issue_rate,
)
from merlinnotch._rendezvous_hashing import get_highest_ranked, rank_names

from .limit_fleet import WINDOW_S, LimitedFleet, Load, Sharing

SIZES = (4, 8, 60, 300)
LIMITS_PER_S = (0.2, 1.1, 2.7, 20.0)
OVERSHOOT = 1.5
SLACK = 5.0
SENDER_SHARE = 0.4
MAX_PARTITIONS = 2.0
EXCHANGE_INTERVAL_S = 0.2
REPLY_TIMEOUT_S = 0.15
UPSTREAM = "upstream"


class TokenBucket:
    """A bucket for one token."""

    def __init__(self):
        self.tokens = 0.0
        self.refilled_at = 0.0

    def take(self, per_s, now):
        """Take a token and return True, or return False if there is none."""
        self.tokens = min(1.0, self.tokens + per_s * (now - self.refilled_at))
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class EqualParts(Sharing):
    """Each instance has an equal part of the limit."""

    def __init__(self, fleet):
        super().__init__(fleet)
        self._buckets = collections.defaultdict(TokenBucket)

    def handle_request(self, instance):
        part = self.fleet.limit_per_s / len(self.fleet.list_known(instance))
        if self._buckets[instance].take(part, self.fleet.now):
            self.fleet.send_request()


class FewSenders(Sharing):
    """A few instances send, with half of the limit for each side of a partition."""

    def __init__(self, fleet):
        super().__init__(fleet)
        self._buckets = collections.defaultdict(TokenBucket)

    def handle_request(self, instance):
        limit_per_s = self.fleet.limit_per_s / MAX_PARTITIONS
        count = max(1, int(SENDER_SHARE * limit_per_s))
        senders = rank_names(UPSTREAM, self.fleet.list_known(instance), count)
        if instance not in senders:
            return
        if self._buckets[instance].take(limit_per_s / count, self.fleet.now):
            self.fleet.send_request()


class ExchangedCounts(Sharing):
    """Instances tell each other how many requests they sent."""

    def __init__(self, fleet):
        super().__init__(fleet)
        self._own = collections.defaultdict(list)
        self._known = collections.defaultdict(dict)
        for instance in range(fleet.load.size):
            fleet.schedule(0.0, functools.partial(self._exchange, instance))

    def handle_request(self, instance):
        now = self.fleet.now
        others = sum(self._known[instance].values())
        own = self._count_own(instance)
        if own + others + 1 <= max(1.0, self.fleet.limit_per_s * WINDOW_S):
            self._own[instance].append(now)
            self.fleet.send_request()

    def _count_own(self, instance):
        since = self.fleet.now - WINDOW_S
        self._own[instance] = [at for at in self._own[instance] if at > since]
        return len(self._own[instance])

    def _exchange(self, instance):
        count = self._count_own(instance)
        for other in self.fleet.list_known(instance):
            if other != instance:
                known = self._known[other]
                self.fleet.send_message(
                    lambda known=known: known.update({instance: count})
                )
        self.fleet.schedule(EXCHANGE_INTERVAL_S, lambda: self._exchange(instance))


class IssuedPermits(Sharing):
    """One instance issues permits, by the product's own decisions."""

    def __init__(self, fleet):
        super().__init__(fleet)
        self._issuers = collections.defaultdict(PermitIssuer)
        book = LimitBook()
        book.record(UPSTREAM, LimitReading(fleet.limit_per_s, 0.0, 0.0))
        self._schedules = collections.defaultdict(lambda: PermitSchedule(book))

    def handle_request(self, instance):
        fleet = self.fleet
        schedule = self._schedules[instance]
        if schedule.get_wait_s(UPSTREAM, fleet.now) > 0.0:
            return
        issuer = get_highest_ranked(UPSTREAM, fleet.list_known(instance))
        if issuer == instance:
            self._apply(instance, self._decide(issuer, instance), fleet.now)
            return
        asked_at = fleet.now
        answered = []
        # Nothing more is asked until the answer or its timeout.
        schedule.record_denied(UPSTREAM, REPLY_TIMEOUT_S, fleet.now)
        fleet.send_message(
            lambda: self._answer(issuer, instance, asked_at, answered.append)
        )
        fleet.schedule(REPLY_TIMEOUT_S, lambda: self._time_out(instance, answered))

    def _answer(self, issuer, instance, asked_at, mark):
        decision = self._decide(issuer, instance)

        def receive():
            mark(decision)
            self._apply(instance, decision, asked_at)

        self.fleet.send_message(receive)

    def _decide(self, issuer, instance):
        rate = compute_issue_rate(
            self.fleet.limit_per_s, self.fleet.is_connected(issuer)
        )
        request = PermitRequest(str(instance))
        return self._issuers[issuer].issue(UPSTREAM, rate, request, self.fleet.now)

    def _apply(self, instance, decision, asked_at):
        schedule = self._schedules[instance]
        if not decision.is_issued:
            schedule.record_denied(UPSTREAM, decision.wait_s, self.fleet.now)
            return
        schedule.record_issued(UPSTREAM)
        if self.fleet.now - asked_at <= REPLY_TIMEOUT_S:
            self.fleet.send_request()

    def _time_out(self, instance, answered):
        if not answered:
            self._schedules[instance].record_unanswered(UPSTREAM, self.fleet.now)


WAYS = (EqualParts, FewSenders, ExchangedCounts, IssuedPermits)


def get_allowed(limit_per_s):
    """Return the requests that are allowed in a window."""
    return OVERSHOOT * WINDOW_S * limit_per_s + SLACK


def make_loads(size, limit_per_s):
    """Return the loads to play by name; callers want six times the limit or more."""
    demand = max(6.0 * limit_per_s, 4.0)
    lowered = {"limit_per_s": 8.0 * limit_per_s, "lowered_per_s": limit_per_s}
    loads = {
        "spread": {},
        "one": {"is_spread": False},
        "lossy": {"loss": 0.1},
        "divided": {"is_divided": True, "loss": 0.02},
        "lowered": lowered | {"requests_per_s": 48.0 * limit_per_s},
    }
    common = {"size": size, "limit_per_s": limit_per_s, "requests_per_s": demand}
    return {name: Load(**(common | changes)) for name, changes in loads.items()}


def main():
    """Print a line for each way, size, limit and load."""
    print("way,size,limit_per_s,load,most,allowed,use,messages_per_s")
    for size in SIZES:
        for limit_per_s in LIMITS_PER_S:
            for name, load in make_loads(size, limit_per_s).items():
                for way in WAYS:
                    if way is ExchangedCounts and size > 60:
                        continue
                    fleet = LimitedFleet(load, way).run()
                    row = [way.__name__, size, limit_per_s, name, fleet.count_most()]
                    row += [round(get_allowed(limit_per_s), 1)]
                    row += [round(fleet.compute_use(), 2)]
                    row += [round(fleet.message_count / load.duration_s, 1)]
                    print(*row, sep=",")
                    sys.stdout.flush()


if __name__ == "__main__":
    main()

"""Exchange of answer counters and bad versions during rollouts."""

import math

from .._fleet import RolloutState
from .._rollout import Tally, TallyKey, TimeKey
from .datagrams import MessageKind
from .ranking import InstanceRanking

MAX_EVALUATORS = 8
"""Number of instances that receive all counters of a rollout: all of a small fleet.
The limit bounds the traffic of a large one."""
MAX_TALLY_ROWS = 16
"""Answer counters per message; with names of usual length it fits a datagram."""
MAX_TIME_ROWS = 12
"""Time counters in the same message; separate ones would double the messages to
evaluators."""
TIME_REPORT_COUNT = 2
"""How often a time counter is sent after a change. Unchanged counters are not repeated
further: there are many, and a rare lost message does not affect the assessment."""


class TallyExchange:
    """Sends this instance's counters to the evaluators and merges those of others.

    *on_bad_version* is called with service, order index and target when an evaluator
    has rejected a version, *on_report* with service, order index and instance name when
    an instance has sent counters, *on_bad_answers* with service, order index,
    incarnation, checkpoint and the bad answers since. Messages include the age of the
    order, which a restarted instance can't know.
    """

    def __init__(
        self,
        transport,
        name,
        view,
        counts,
        read_clock,
        on_bad_version,
        on_report,
        on_bad_answers,
    ):
        self._transport = transport
        self._name = name
        self._view = view
        self._counts = counts
        self._pending_times = {}
        self._ranking = InstanceRanking(name, view)
        self._read_clock = read_clock
        self._on_bad_version = on_bad_version
        self._on_report = on_report
        transport.handle(MessageKind.TALLY, self._handle_counters)
        self._on_bad_answers = on_bad_answers
        transport.handle(MessageKind.BAD_VERSION, self._handle_bad_version)
        transport.handle(MessageKind.BAD_ANSWERS, self._handle_bad_answers)

    def rank_instances(self, service):
        """Return all instances' names, in the order in which they lead rollouts."""
        return self._ranking.rank(service)

    def list_evaluators(self, service):
        """Return the names of the instances that receive all counters of *service*."""
        return self.rank_instances(service)[:MAX_EVALUATORS]

    def send_counters(self, order):
        """Send this instance's counters for *order* to the evaluators."""
        evaluators = self._ranking.find_addresses(self.list_evaluators(order.service))
        rows = [
            [key.version, key.route, tally.answers, tally.bad]
            for key, tally in self._counts.tallies.list_local(order)
        ]
        age_s = self._view.get_rollout(order.service).get_order_age_s(
            self._read_clock()
        )
        header = [order.service, order.index, age_s, self._counts.incarnation]
        times = [self._encode_time(key) for key in self._list_due_times(order)]
        # An empty message is sent too, as a silent instance counts as unreachable.
        count = max(
            1,
            math.ceil(len(rows) / MAX_TALLY_ROWS),
            math.ceil(len(times) / MAX_TIME_ROWS),
        )
        for n in range(count):
            tally_rows = rows[n * MAX_TALLY_ROWS : (n + 1) * MAX_TALLY_ROWS]
            time_rows = times[n * MAX_TIME_ROWS : (n + 1) * MAX_TIME_ROWS]
            self._send_rows(header, tally_rows, time_rows, evaluators)

    def send_bad_answers(self, order, checkpoint, increment):
        """Send the bad answers counted since *checkpoint* to the evaluators."""
        body = [
            order.service,
            order.index,
            self._counts.incarnation,
            checkpoint,
            increment,
        ]
        evaluators = self._ranking.find_addresses(self.list_evaluators(order.service))
        self._transport.send(MessageKind.BAD_ANSWERS, body, evaluators)

    def broadcast_bad_version(self, order):
        """Notify all instances that the target of *order* is rejected."""
        self._send_bad_version(order, self._view.peers)

    def _send_bad_version(self, order, names):
        body = [order.service, order.index, order.target]
        addresses = self._ranking.find_addresses(names)
        self._transport.send(MessageKind.BAD_VERSION, body, addresses)

    def _send_rows(self, header, rows, times, evaluators):
        """Send counters, split into more messages if they don't fit one."""
        body = [*header, rows, times]
        if (
            self._transport.send(MessageKind.TALLY, body, evaluators)
            or len(rows + times) < 2
        ):
            return
        self._send_rows(header, *_halve(rows, times, 0), evaluators)
        self._send_rows(header, *_halve(rows, times, 1), evaluators)

    def _list_due_times(self, order):
        """Return the keys of time counters that changed or are still to be repeated."""
        due = dict.fromkeys(self._counts.times.pop_changed(order), TIME_REPORT_COUNT)
        for key, remaining in self._pending_times.get(order.service, {}).items():
            if key.order == order.index:
                due.setdefault(key, remaining)
        self._pending_times[order.service] = {k: n - 1 for k, n in due.items() if n > 1}
        return list(due)

    def _encode_time(self, key):
        count = self._counts.times.get_local(key).answers
        return [key.version, key.route, key.kind, key.load_band, key.time_band, count]

    def _handle_counters(self, body):
        service, order, age_s, incarnation, rows, times = body
        name = incarnation.partition("/")[0]
        rollout = self._view.get_rollout(service)
        if rollout.order is not None and rollout.order.index == order:
            rollout.raise_order_age(age_s, self._read_clock())
            if rollout.state is RolloutState.REVERTED:
                # The sender has missed the rejection, and the store may be stale.
                self._send_bad_version(rollout.order, [name])
        self._on_report(service, order, name)
        for version, route, *counts in rows:
            key = TallyKey(service, version, route, order)
            self._counts.tallies.merge(key, incarnation, Tally(*counts))
        for version, route, kind, load_band, time_band, count in times:
            key = TimeKey(service, version, route, order, kind, load_band, time_band)
            self._counts.times.merge(key, incarnation, Tally(count))

    def _handle_bad_answers(self, body):
        service, order, incarnation, checkpoint, increment = body
        self._on_bad_answers(service, order, incarnation, checkpoint, increment)

    def _handle_bad_version(self, body):
        service, order, target = body
        self._on_bad_version(service, order, target)


def _halve(rows, times, half):
    """Return the first (*half* is 0) or second half of both lists."""
    halves = []
    for part in (rows, times):
        middle = (len(part) + 1) // 2
        halves.append(part[middle:] if half else part[:middle])
    return halves

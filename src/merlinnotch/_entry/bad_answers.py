"""Bad answers of rollouts' targets, kept in the store beyond the processes' lives."""

import dataclasses

from .._fleet.records import encode_stage, stage_key
from .._rollout import BadAnswerTotal, rules_out_failures


class BadAnswerCheckpoints:
    """Adds up the bad answers for each order and writes them to the store.

    They are part of the stage. *tally_exchange* reports those of this process,
    *compute_takeover_delay* returns how many seconds this instance waits for others to
    write for a service.
    """

    def __init__(self, store, tallies, tally_exchange, compute_takeover_delay):
        self._store = store
        self._tallies = tallies
        self._tally_exchange = tally_exchange
        self._compute_takeover_delay = compute_takeover_delay
        self._totals = {}
        self._due_at = {}

    def record_report(self, service, order_index, incarnation, checkpoint, increment):
        """Record what another process has counted since *checkpoint*."""
        total = self._get_total(service, order_index)
        total.record_report(incarnation, checkpoint, increment)

    def count(self, rollout):
        """Return the target's bad answers, those of ended processes included."""
        order = rollout.order
        total = self._get_total(order.service, order.index)
        if rollout.current_stage is not None:
            total.advance(rollout.current_stage.bad_answers)
        counted = self._tallies.count_local_bad(order)
        return max(self._tallies.count_bad(order), total.sum(counted))

    def report(self, order):
        """Report this process's bad answers to the evaluators, if there are any."""
        total = self._get_total(order.service, order.index)
        increment = total.make_report(self._tallies.count_local_bad(order))
        if increment:
            self._tally_exchange.send_bad_answers(order, total.checkpoint, increment)

    def write_due(self, rollout, counts, now):
        """Write the bad answers, unless *counts* show that the version is sound.

        Raises :class:`StoreError` or :class:`StoreConflict`.
        """
        order, stage = rollout.order, rollout.current_stage
        bad_answers = self.count(rollout)
        if (
            stage is None
            or bad_answers <= stage.bad_answers
            or rules_out_failures(counts, order)
        ):
            self._due_at.pop(order.service, None)
            return
        delay_s = self._compute_takeover_delay(order.service)
        if now < self._due_at.setdefault(order.service, now + delay_s):
            return
        del self._due_at[order.service]
        total = self._get_total(order.service, order.index)
        total.make_report(self._tallies.count_local_bad(order))
        checkpoint = dataclasses.replace(stage, bad_answers=bad_answers)
        value = encode_stage(checkpoint)
        self._store.swap(stage_key(order.service), value, stage.index)

    def _get_total(self, service, order_index):
        known_index, total = self._totals.get(service, (None, None))
        if known_index != order_index:
            total = BadAnswerTotal()
            self._totals[service] = (order_index, total)
        return total

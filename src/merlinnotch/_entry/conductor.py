"""Leads roll-outs: writes stages and states, sums up what versions answer."""

import logging

import eventlet

from .._errors import StoreConflict, StoreError
from .._fleet import RolloutState, Stage
from .._fleet.records import encode_stage, stage_key
from .._rollout import (
    Exposure,
    Hearing,
    count_canaries,
    describe_tallies,
    judge_version,
    weigh_version,
)
from ..platform import encode_status, status_key
from .tallies import TallyNews

logger = logging.getLogger("merlinnotch")

TICK_S = 0.25
LAST_TICK_S = 0.1
"""The tick in a last stage, whose end is due to the tenth of a second."""
TELL_S = 0.5
"""How often counters that changed go to the judges; in the last stage, which
lasts some two seconds, every TICK_S."""
REPEAT_S = 1.0
"""How often counters go to the judges that did not change: who is silent for longer
is taken to be gone or cut off."""
LEAST_LOAD = 0.5
"""Part of an upstream's usual traffic from which a canary counts as loaded."""
LOAD_WITHIN = 2.0
"""Periods after which a version is judged by what there is, also where its upstreams
were never busy."""
TURN_S = 0.7
"""How much longer each next instance waits before it does what is due; the
first one has done it by then unless it is gone, paused or cut off."""


class Conductor:
    """Every instance runs one; the store's conditions make sure that one wins.

    Nobody is elected: whoever finds a step undone when its turn comes writes it
    on the condition that nothing changed since it looked. An instance that was
    paused fails on the condition.
    """

    def __init__(self, store, view, counts, port, schedule, name, read_clock):
        self._store = store
        self._view = view
        self._counts = counts
        self._news = TallyNews(
            port, name, view, counts, read_clock, self._take_verdict, self._note_heard
        )
        self._schedule = schedule
        self._name = name
        self._read_clock = read_clock
        self._told_at = {}
        self._orders = {}
        self._hearings = {}
        self._convicted_at = {}

    def run(self):
        """Lead until the process ends."""
        while True:
            eventlet.sleep(LAST_TICK_S if self._is_ending() else TICK_S)
            now = self._read_clock()
            for service, rollout in self._view.list_active_rollouts():
                try:
                    self._lead(service, rollout, now)
                except StoreConflict:
                    logger.info("roll-out step taken", extra={"service": service})
                except StoreError as error:
                    fields = {"service": service, "reason": str(error)}
                    logger.warning("roll-out step failed", extra=fields)

    def _lead(self, service, rollout, now):
        if self._orders.get(service) != rollout.order.index:
            self._orders[service] = rollout.order.index
            self._hearings[service] = Hearing(self._schedule.share)
            self._convicted_at.pop(service, None)
            self._counts.forget_before(rollout.order)
        reason = judge_version(self._counts, rollout.order)
        if reason is not None:
            self._convict(service, rollout, reason, now)
            self._news.tell_verdict(rollout.order)
        self._tell_judges(rollout, now)
        self._listen(service, rollout, now)
        if rollout.order.target in rollout.bad_versions:
            self._take_back(service, rollout, now)
            return
        age_s = rollout.measure_age(now) - self._wait_for_turn(service)
        if age_s >= 0 and self._may_lead(service):
            self._advance(service, rollout, age_s, now)

    def _note_heard(self, service, order_index, name):
        """Take that instance *name* told its counters for an order."""
        if self._orders.get(service) == order_index:
            self._hearings[service].note(name, self._read_clock())

    def _listen(self, service, rollout, now):
        total = self._counts.tallies.count_answers(rollout.order)
        self._hearings[service].listen(self._list_others(service), total, now)

    def _convict(self, service, rollout, reason, now):
        """Send the version nothing more, whether or not the store is reached."""
        target = rollout.order.target
        if target not in rollout.bad_versions:
            rollout.bad_versions.add(target)
            self._convicted_at[service] = now
            fields = {"service": service, "target": target, "reason": reason}
            logger.warning("version convicted", extra=fields)

    def _take_verdict(self, service, order_index, target):
        rollout = self._view.get_rollout(service)
        order = rollout.order
        if order is None or (order.index, order.target) != (order_index, target):
            return
        self._convict(service, rollout, "told by a peer", self._read_clock())

    def _take_back(self, service, rollout, now):
        convicted_at = self._convicted_at.setdefault(service, now)
        if now - convicted_at >= self._wait_for_turn(service):
            self._write_state(service, rollout, RolloutState.REVERTED)

    def _advance(self, service, rollout, age_s, now):
        if not self._list_targets(service, rollout):
            return
        if rollout.status is None or rollout.status.index < rollout.order.index:
            self._write_state(service, rollout, RolloutState.ACTIVE)
        stage = rollout.current_stage
        if stage is None:
            first = self._schedule.plan_first()
            self._write_stage(service, rollout, first, now)
            return
        if not self._hearings[service].is_enough(now):
            return
        exposure = self._estimate_exposure(service, rollout, now)
        period_s = rollout.order.period_s
        loaded = self._carries_load(service, rollout) and age_s < LOAD_WITHIN * period_s
        standing = weigh_version(self._counts, rollout.order, loaded)
        due = self._schedule.find_due(age_s, period_s, exposure, standing)
        if stage.number < due.number:
            self._write_stage(service, rollout, due, now)
        elif stage.takes_all and self._schedule.is_complete(
            age_s, period_s, age_s - stage.age_s, exposure, standing
        ):
            self._write_state(service, rollout, RolloutState.COMPLETE)

    def _estimate_exposure(self, service, rollout, now):
        """Return the :class:`Exposure` of the fleet by what was heard of it."""
        counted = Exposure(
            self._counts.tallies.count_answers(rollout.order, rollout.order.target),
            self._counts.tallies.count_answers(rollout.order),
        )
        return self._hearings[service].estimate(
            counted, rollout.measure_age(now), self._list_others(service), now
        )

    def _write_stage(self, service, rollout, due, now):
        known = rollout.stage
        age_s = rollout.measure_age(now)
        canaries = self._count_canaries(service, rollout, due.share)
        stage = Stage(
            service,
            rollout.order.index,
            due.number,
            due.share,
            age_s,
            canaries=canaries,
        )
        self._store.swap(
            stage_key(service), encode_stage(stage), known.index if known else 0
        )
        fields = {"service": service, "stage": due.number, "share": due.share}
        fields["canaries"] = canaries
        fields["seen"] = describe_tallies(self._counts, rollout.order)
        logger.info("stage written", extra=fields | {"age_s": round(age_s, 2)})

    def _count_canaries(self, service, rollout, share):
        return count_canaries(self._list_targets(service, rollout), share)

    def _carries_load(self, service, rollout):
        """Return whether canaries get about as much as other upstreams do."""
        count = len(self._list_targets(service, rollout))
        return rollout.current_stage.share * count >= LEAST_LOAD

    def _list_targets(self, service, rollout):
        """Return the upstreams of the version that is brought in."""
        listed = self._view.list_upstreams(service)
        return [u for u in listed if u.version == rollout.order.target]

    def _write_state(self, service, rollout, state):
        known = rollout.status
        target = rollout.order.target
        self._store.swap(
            status_key(service),
            encode_status(service, target, state),
            known.index if known else 0,
        )
        fields = {"service": service, "target": target, "state": str(state)}
        fields["seen"] = describe_tallies(self._counts, rollout.order)
        logger.info("roll-out state written", extra=fields)

    def _tell_judges(self, rollout, now):
        order = rollout.order
        pause_s = TICK_S if _takes_all(rollout) else TELL_S
        silent_s = now - self._told_at.get(order.service, -REPEAT_S)
        if silent_s < pause_s:
            return
        if self._counts.tallies.take_changed(order) or silent_s >= REPEAT_S:
            self._told_at[order.service] = now
            self._news.tell_judges(order)

    def _is_ending(self):
        return any(_takes_all(r) for _, r in self._view.list_active_rollouts())

    def _list_others(self, service):
        """Return the names of the other instances that are present."""
        names = self._news.rank_instances(service)
        return [name for name in names if name != self._name]

    def _may_lead(self, service):
        """Return whether this instance hears the tallies that stages go by."""
        return self._name in self._news.list_judges(service)

    def _wait_for_turn(self, service):
        return self._news.rank_instances(service).index(self._name) * TURN_S


def _takes_all(rollout):
    stage = rollout.current_stage
    return stage is not None and stage.takes_all

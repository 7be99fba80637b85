"""Controller that writes rollout stages and states and rejects bad versions."""

import logging

import eventlet

from .._errors import StoreConflict, StoreError
from .._fleet import RolloutState, Stage
from .._fleet.records import encode_stage, stage_key
from .._rollout import (
    Exposure,
    ReportCoverage,
    assess_health,
    count_canaries,
    describe_counts,
    find_rejection_reason,
)
from ..platform import encode_status, status_key
from .bad_answers import BadAnswerCheckpoints
from .tally_exchange import TallyExchange

logger = logging.getLogger("merlinnotch")

POLL_INTERVAL_S = 0.25
LAST_STAGE_POLL_INTERVAL_S = 0.1
"""The last stage has to end within a tenth of a second of its due time."""
REPORT_INTERVAL_S = 0.5
"""Interval between reports of changed counters to the evaluators; in the last stage
they are sent every POLL_INTERVAL_S."""
HEARTBEAT_INTERVAL_S = 1.0
"""Interval between reports of unchanged counters. Evaluators treat an instance that is
silent for longer as stopped or unreachable."""
MIN_LOAD_SHARE = 0.5
"""Least share of an upstream's usual traffic at which a canary counts as loaded."""
LOAD_CHECK_PERIODS = 2.0
"""Rollout periods after which a version is assessed without measurements under load."""
TAKEOVER_DELAY_S = 0.7
"""Additional delay of each instance in the ranking before it takes a due step. The
instances ranked before it are stopped, paused or unreachable if the step is still
undone by then."""


class RolloutController:
    """Reconciliation loop of rollouts, run by every instance.

    There is no leader election. An instance writes a due step once its takeover delay
    has passed, by compare-and-swap: of concurrent writers one succeeds, and an instance
    that was paused fails on its stale index.
    """

    def __init__(self, store, view, counts, transport, schedule, name, read_clock):
        self._store = store
        self._view = view
        self._counts = counts
        self._tally_exchange = TallyExchange(
            transport,
            name,
            view,
            counts,
            read_clock,
            self._handle_bad_version,
            self._record_report,
            self._record_bad_answers,
        )
        self._bad_answers = BadAnswerCheckpoints(
            store, counts.tallies, self._tally_exchange, self._compute_takeover_delay
        )
        self._schedule = schedule
        self._name = name
        self._read_clock = read_clock
        self._reported_at = {}
        self._order_indexes = {}
        self._coverages = {}
        self._rejected_at = {}

    def run(self):
        """Reconcile active rollouts until the process ends."""
        while True:
            eventlet.sleep(
                LAST_STAGE_POLL_INTERVAL_S
                if self._has_rollout_in_last_stage()
                else POLL_INTERVAL_S
            )
            now = self._read_clock()
            for service, rollout in self._view.list_active_rollouts():
                self._try_step(self._reconcile, service, rollout, now)
            for service, rollout in self._view.list_unwritten_rollouts():
                self._try_step(self._write_again, service, rollout, now)

    def _try_step(self, step, service, rollout, now):
        try:
            step(service, rollout, now)
        except StoreConflict:
            logger.info(
                "rollout step already written by another instance",
                extra={"service": service},
            )
        except StoreError as error:
            fields = {"service": service, "reason": str(error)}
            logger.warning("failed to write rollout step", extra=fields)

    def _write_again(self, service, rollout, now):
        """Write a final state that a restored store lacks, after the takeover delay."""
        if now - rollout.restored_at >= self._compute_takeover_delay(service):
            self._write_state(service, rollout, rollout.decided_state)

    def _reconcile(self, service, rollout, now):
        if self._order_indexes.get(service) != rollout.order.index:
            self._order_indexes[service] = rollout.order.index
            self._coverages[service] = ReportCoverage(self._schedule.share)
            self._rejected_at.pop(service, None)
            self._counts.delete_before(rollout.order)
        order_age_s = rollout.get_order_age_s(now)
        self._counts.advance_windows(rollout.order, order_age_s, now)
        bad_answers = self._count_bad_answers(service, rollout)
        reason = find_rejection_reason(self._counts, rollout.order, bad_answers)
        if reason is not None:
            self._reject_version(service, rollout, reason, now)
            self._tally_exchange.broadcast_bad_version(rollout.order)
        self._report_counters(rollout, now)
        self._update_coverage(service, rollout, now)
        if rollout.order.target in rollout.bad_versions:
            self._revert_after_takeover_delay(service, rollout, now)
            return
        age_s = rollout.get_order_age_s(now) - self._compute_takeover_delay(service)
        if age_s >= 0 and self._is_evaluator(service):
            self._advance(service, rollout, age_s, now)
            self._bad_answers.write_due(rollout, self._counts, now)

    def _count_bad_answers(self, service, rollout):
        """Return the bad answers of all processes, 0 if the good ones aren't known."""
        bad_answers = self._bad_answers.count(rollout)
        knows_good_ones = (
            self._is_evaluator(service) and self._coverages[service].has_majority
        )
        return bad_answers if knows_good_ones else 0

    def _record_report(self, service, order_index, name):
        """Record that instance *name* has sent its counters for an order."""
        if self._order_indexes.get(service) == order_index:
            self._coverages[service].record_report(name, self._read_clock())

    def _record_bad_answers(self, service, order_index, *report):
        """Record the incarnation, checkpoint and count that a process has sent."""
        if self._order_indexes.get(service) == order_index:
            self._bad_answers.record_report(service, order_index, *report)

    def _update_coverage(self, service, rollout, now):
        total = self._counts.tallies.count_answers(rollout.order)
        self._coverages[service].update(self._list_other_instances(service), total, now)

    def _reject_version(self, service, rollout, reason, now):
        """Stop sending the target version new requests, even without the store."""
        target = rollout.order.target
        if target not in rollout.bad_versions:
            rollout.bad_versions.add(target)
            self._rejected_at[service] = now
            fields = {"service": service, "target": target, "reason": reason}
            logger.warning("version rejected", extra=fields)

    def _handle_bad_version(self, service, order_index, target):
        rollout = self._view.get_rollout(service)
        order = rollout.order
        if order is None or (order.index, order.target) != (order_index, target):
            return
        self._reject_version(service, rollout, "told by a peer", self._read_clock())

    def _revert_after_takeover_delay(self, service, rollout, now):
        rejected_at = self._rejected_at.setdefault(service, now)
        if now - rejected_at >= self._compute_takeover_delay(service):
            self._write_state(service, rollout, RolloutState.REVERTED)

    def _advance(self, service, rollout, age_s, now):
        if not self._list_target_upstreams(service, rollout):
            return
        if rollout.status is None or rollout.status.index < rollout.order.modify_index:
            self._write_state(service, rollout, RolloutState.ACTIVE)
        stage = rollout.current_stage
        if stage is None:
            first_stage = self._schedule.plan_first_stage()
            self._write_stage(service, rollout, first_stage, now)
            return
        if not self._coverages[service].is_sufficient(now):
            return
        exposure = self._estimate_exposure(service, rollout, now)
        period_s = rollout.order.period_s
        loaded = (
            self._are_canaries_loaded(service, rollout)
            and age_s < LOAD_CHECK_PERIODS * period_s
        )
        assessment = assess_health(self._counts, rollout.order, loaded)
        due_stage = self._schedule.plan_stage(age_s, period_s, exposure, assessment)
        if stage.number < due_stage.number:
            self._write_stage(service, rollout, due_stage, now)
        elif stage.has_all_traffic and self._schedule.is_complete(
            age_s, period_s, age_s - stage.age_s, exposure, assessment
        ):
            self._write_state(service, rollout, RolloutState.COMPLETE)

    def _estimate_exposure(self, service, rollout, now):
        """Return the fleet's :class:`Exposure`, extrapolated from reports."""
        counted = Exposure(
            self._counts.tallies.count_answers(rollout.order, rollout.order.target),
            self._counts.tallies.count_answers(rollout.order),
        )
        return self._coverages[service].estimate_exposure(
            counted,
            rollout.get_order_age_s(now),
            self._list_other_instances(service),
            now,
        )

    def _write_stage(self, service, rollout, due_stage, now):
        previous = rollout.stage
        age_s = rollout.get_order_age_s(now)
        canaries = self._count_canaries(service, rollout, due_stage.share)
        stage = Stage(
            service,
            rollout.order.index,
            due_stage.number,
            due_stage.share,
            age_s,
            canaries=canaries,
            bad_answers=self._bad_answers.count(rollout),
        )
        self._store.swap(
            stage_key(service), encode_stage(stage), previous.index if previous else 0
        )
        fields = {
            "service": service,
            "stage": due_stage.number,
            "share": due_stage.share,
            "canaries": canaries,
            "age_s": round(age_s, 2),
        }
        logger.info(
            "rollout stage written", extra=fields | self._build_evidence_fields(rollout)
        )

    def _count_canaries(self, service, rollout, share):
        return count_canaries(self._list_target_upstreams(service, rollout), share)

    def _are_canaries_loaded(self, service, rollout):
        """Return whether each canary gets at least MIN_LOAD_SHARE of usual traffic."""
        count = len(self._list_target_upstreams(service, rollout))
        return rollout.current_stage.share * count >= MIN_LOAD_SHARE

    def _list_target_upstreams(self, service, rollout):
        """Return the upstreams that run the target version."""
        upstreams = self._view.list_upstreams(service)
        return [u for u in upstreams if u.version == rollout.order.target]

    def _write_state(self, service, rollout, state):
        previous = rollout.status
        target = rollout.order.target
        self._store.swap(
            status_key(service),
            encode_status(service, target, state),
            previous.index if previous else 0,
        )
        fields = {"service": service, "target": target, "state": str(state)}
        logger.info(
            "rollout state written", extra=fields | self._build_evidence_fields(rollout)
        )

    def _build_evidence_fields(self, rollout):
        """Return what a decision rests on, and whose counts it includes."""
        return {
            "seen": describe_counts(self._counts, rollout.order),
            "counted_processes": self._counts.tallies.count_incarnations(rollout.order),
            "present_instances": len(
                self._tally_exchange.rank_instances(rollout.order.service)
            ),
        }

    def _report_counters(self, rollout, now):
        order = rollout.order
        interval_s = (
            POLL_INTERVAL_S if _is_in_last_stage(rollout) else REPORT_INTERVAL_S
        )
        elapsed_s = now - self._reported_at.get(order.service, -HEARTBEAT_INTERVAL_S)
        if elapsed_s < interval_s:
            return
        if self._counts.tallies.pop_changed(order) or elapsed_s >= HEARTBEAT_INTERVAL_S:
            self._reported_at[order.service] = now
            self._tally_exchange.send_counters(order)
            self._bad_answers.report(order)

    def _has_rollout_in_last_stage(self):
        return any(_is_in_last_stage(r) for _, r in self._view.list_active_rollouts())

    def _list_other_instances(self, service):
        """Return the names of the other present instances."""
        names = self._tally_exchange.rank_instances(service)
        return [name for name in names if name != self._name]

    def _is_evaluator(self, service):
        """Return whether this instance receives the counters that stages depend on."""
        return self._name in self._tally_exchange.list_evaluators(service)

    def _compute_takeover_delay(self, service):
        return (
            self._tally_exchange.rank_instances(service).index(self._name)
            * TAKEOVER_DELAY_S
        )


def _is_in_last_stage(rollout):
    stage = rollout.current_stage
    return stage is not None and stage.has_all_traffic

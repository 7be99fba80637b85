"""Detection of requests and prompt parts that crash upstreams, by all instances."""

import logging

import eventlet
import eventlet.queue

from .._fleet import UpstreamStart
from .._poison import CrashAttributor, PartTracker, RecentSet, RunTable
from .block_writer import WRITE_RETRY_DELAY_S, BlockWriter
from .crash_log import log_blocked, log_losses
from .datagrams import MessageKind
from .loss_messages import (
    PartReport,
    decode_losses,
    decode_part_reports,
    encode_losses,
    encode_part_reports,
)
from .ranking import InstanceRanking

logger = logging.getLogger("merlinnotch")

EVALUATORS_KEY = "crashes"
MAX_EVALUATORS = 8
"""Number of instances that receive all losses: all of a small fleet, about two per
availability zone of a large one."""
QUIET_PERIOD_S = 0.1
"""Time without a new loss before suspects are evaluated. Instances that lost requests
at the same upstream report within milliseconds; without all of the reports the wrong
request may be blocked."""
MAX_REPORT_WAIT_S = 0.4
"""Upper bound of that wait, for upstreams that end one after another."""
TAKEOVER_DELAY_S = 0.25
"""Additional delay of each evaluator in the ranking. The ones ranked before it have
sent their result by then unless they are stopped or unreachable."""
MAX_STARTS = 30
"""Upstreams listed with a blocked request in one message."""
ANSWER_VALIDITY_S = 60.0
"""How long a complete answer clears a request; upstream software may change later."""
MAX_ANSWERED = 2048
"""Requests whose last complete answer is remembered. Identical requests of many callers
recur within seconds; a request sent only once has no earlier answer."""
MAX_REPORTED = 4096
"""Reported requests of this instance whose next complete answer is sent to the
evaluators."""
ANNOUNCER_COUNT = 2
"""Evaluators that announce blocks which are not in the store. One of them may have been
restarted itself."""
FIRST_EXPIRY_LEAD_S = 5.0
"""Time by which a block ends earlier on the first evaluator than on all others. A crash
there renews the block before the other instances send such requests."""


class CrashDetector:
    """Blocks what crashes upstreams, across the whole fleet.

    Each instance reports to the evaluators which of its requests were running at an
    upstream when it ended, and which prompt parts these have in common with others. An
    evaluator that identifies a crashing request or part broadcasts the block and writes
    it to the store, for instances that start later or miss the message.
    """

    def __init__(self, transport, store, view, name, read_clock):
        self.runs = RunTable()
        self._transport = transport
        self._view = view
        self._name = name
        self._read_clock = read_clock
        self._ranking = InstanceRanking(name, view)
        self._evaluator = CrashAttributor(view.blocked)
        self._writer = BlockWriter(store, view.blocked, read_clock)
        self._parts = PartTracker(view.blocked)
        self._wakeups = eventlet.queue.LightQueue(1)
        self._last_loss_at = 0.0
        self._reported = RecentSet(MAX_REPORTED)
        self._answered = RecentSet(MAX_ANSWERED)
        transport.handle(MessageKind.LOSSES, self._handle_losses)
        transport.handle(MessageKind.PART_LOSSES, self._handle_part_losses)
        transport.handle(MessageKind.CLEARED, self._handle_cleared)
        transport.handle(MessageKind.BLOCKED, self._handle_blocked)

    def record_answered(self, run):
        """Record that a run was answered completely, which clears its request."""
        self.runs.close(run)
        fingerprint = run.fingerprint
        self._answered.add(fingerprint, self._read_clock())
        if fingerprint in self._view.blocked or self._reported.remove(fingerprint):
            self._clear(fingerprint)
        self._record_survived(run)

    def record_read(self, run):
        """Record that data of a run's response arrived.

        An upstream that sends data long after the run began has survived it.
        """
        if run.record_read(self._read_clock()):
            self._record_survived(run)

    def record_abandoned(self, run):
        """Record that this instance abandoned a run, if it is still in progress."""
        if run.finished_at is None:
            run.abandoned_at = self._read_clock()

    def record_connection_lost(self, run):
        """Record that the upstream closed or reset the connection of a run."""
        run.disconnected_at = self._read_clock()

    def record_connection_refused(self, upstream):
        """Record that an upstream refuses connections: it has ended or is at its limit.

        While a request still has its connection, the upstream has not ended.
        """
        if not self.runs.has_open_runs(upstream.start):
            self._report_losses(upstream.start, self._read_clock())

    def record_removed(self, upstream):
        """Record that an upstream was removed; the time at which it ended is unknown.

        A leaving upstream has finished its requests and loses none.
        """
        now = self._read_clock()
        if not self._view.notices.is_leaving(upstream.start, now):
            self._report_losses(upstream.start, None)

    def _report_losses(self, start, observed_at):
        """Report the requests that were running at an upstream when it ended."""
        losses = self.runs.pop_losses(start, observed_at)
        if not losses:
            return
        now = self._read_clock()
        log_losses(start, losses)
        self._report_request_losses(start, losses, now)
        self._report_part_losses(start, losses, now)

    def _report_request_losses(self, start, losses, now):
        losses = [
            loss for loss in losses if not self._was_answered(loss.fingerprint, now)
        ]
        for loss in losses:
            self._reported.add(loss.fingerprint, now)
        for body in encode_losses(start, losses):
            self._transport.send(
                MessageKind.LOSSES, body, self._list_evaluator_addresses()
            )
        self._record_losses(losses)

    def _report_part_losses(self, start, losses, now):
        reports = [
            PartReport(loss, self._parts.classify(loss.parts, now))
            for loss in losses
            if loss.parts
        ]
        self._parts.suspect(losses, now)
        for body in encode_part_reports(start, reports):
            self._transport.send(
                MessageKind.PART_LOSSES, body, self._list_evaluator_addresses()
            )
        self._record_part_reports(reports)

    def _record_survived(self, run):
        now = self._read_clock()
        for part in self._parts.record_survived(run, now):
            self._clear(part)

    def _clear(self, fingerprint):
        """Clear a request or a part on all instances that hold something against it."""
        if fingerprint in self._view.blocked:
            self._lift_block(fingerprint)
            return
        addresses = self._list_evaluator_addresses()
        self._transport.send(MessageKind.CLEARED, [fingerprint], addresses)
        self._clear_suspicion(fingerprint)

    def _lift_block(self, fingerprint):
        """End a block on all instances and in the store."""
        peers = self._ranking.find_addresses(self._view.peers)
        self._transport.send(MessageKind.CLEARED, [fingerprint], peers)
        self._clear_suspicion(fingerprint)
        eventlet.spawn_n(self._writer.delete, fingerprint)

    def run(self):
        """Evaluate suspects until the process ends."""
        while True:
            self._wakeups.get()
            self._wait_for_reports()
            self._block_crashing_requests(self._read_clock())

    def sweep(self, now):
        """Drop outdated runs and lift expired blocks."""
        self.runs.drop_old(now)
        ranked = self._rank_evaluators()
        is_first = ranked[0] == self._name
        expired_at = now if is_first else now - FIRST_EXPIRY_LEAD_S
        for fingerprint in self._view.blocked.list_expired(expired_at):
            self._unblock(fingerprint)
            # The deletion ends the block on all instances.
            if ranked[:2][-1] == self._name:
                eventlet.spawn_n(self._writer.delete, fingerprint)
        if self._name in ranked[:ANNOUNCER_COUNT]:
            self._announce_unstored_blocks(now)
        for fingerprint in self._view.blocked.pop_lost():
            if self._name in ranked:
                delay_s = ranked.index(self._name) * WRITE_RETRY_DELAY_S
                eventlet.spawn_n(self._writer.write, fingerprint, delay_s)

    def _announce_unstored_blocks(self, now):
        """Announce the blocks that started instances can't read from the store.

        Those that end soon are left out, as the first evaluator ends them earlier.
        """
        peers = self._ranking.find_addresses(self._view.peers)
        unstored = self._view.blocked.list_unstored(now + FIRST_EXPIRY_LEAD_S)
        for fingerprint in unstored:
            self._transport.send(MessageKind.BLOCKED, [fingerprint, []], peers)

    def _wait_for_reports(self):
        """Wait until no reports arrive, then for this evaluator's takeover delay."""
        deadline = self._read_clock() + MAX_REPORT_WAIT_S
        while (now := self._read_clock()) < min(
            deadline, self._last_loss_at + QUIET_PERIOD_S
        ):
            eventlet.sleep(min(deadline, self._last_loss_at + QUIET_PERIOD_S) - now)
        ranked = self._rank_evaluators()
        if self._name in ranked:
            eventlet.sleep(ranked.index(self._name) * TAKEOVER_DELAY_S)

    def _block_crashing_requests(self, now):
        for verdict in self._parts.attributor.block_culprits(now):
            self._evaluator.attribute(verdict.part, verdict.starts, now)
            self._announce_block(verdict.part, verdict.starts, "prompt part")
            for part in verdict.acquitted:
                self._lift_block(part)
        for fingerprint, starts in self._evaluator.block_culprits(now):
            self._parts.attributor.attribute(fingerprint, starts)
            self._announce_block(fingerprint, starts, "request")

    def _announce_block(self, fingerprint, starts, culprit):
        log_blocked(fingerprint, starts, culprit)
        rows = [[start.id, start.started_ms] for start in starts[-MAX_STARTS:]]
        peers = self._ranking.find_addresses(self._view.peers)
        self._transport.send(MessageKind.BLOCKED, [fingerprint, rows], peers)
        eventlet.spawn_n(self._writer.write, fingerprint)

    def _unblock(self, fingerprint):
        if fingerprint in self._view.blocked:
            self._view.blocked.remove(fingerprint)
            logger.info("request unblocked", extra={"fingerprint": fingerprint.hex()})

    def _clear_suspicion(self, fingerprint):
        """Lift a block and drop the losses that are held against a request or part."""
        self._unblock(fingerprint)
        self._evaluator.clear(fingerprint)
        self._parts.clear(fingerprint)

    def _was_answered(self, fingerprint, now):
        """Return whether this instance got a complete answer to the request recently.

        This protects requests that many callers send alike: unrelated losses of each
        caller would otherwise add up against them.
        """
        return self._answered.was_added_since(fingerprint, now - ANSWER_VALIDITY_S)

    def _record_losses(self, losses):
        if not losses or self._name not in self._rank_evaluators():
            return
        self._last_loss_at = self._read_clock()
        for loss in losses:
            if not self._was_answered(loss.fingerprint, self._last_loss_at):
                self._evaluator.record_loss(loss, self._last_loss_at)
        self._wake_up()

    def _record_part_reports(self, reports):
        if not reports or self._name not in self._rank_evaluators():
            return
        now = self._last_loss_at = self._read_clock()
        for report in reports:
            self._parts.record_loss(report.loss, report.usages, now)
        self._wake_up()

    def _wake_up(self):
        if not self._wakeups.full():
            self._wakeups.put_nowait(True)

    def _handle_losses(self, body):
        losses = decode_losses(body)
        self._record_losses(losses)
        self._report_abandoned({loss.start for loss in losses})

    def _handle_part_losses(self, body):
        reports = decode_part_reports(body)
        self._record_part_reports(reports)
        self._report_abandoned({report.loss.start for report in reports})

    def _report_abandoned(self, starts):
        """Report runs on upstreams that ended, as others report.

        Runs that were abandoned here have no connection left to show the failure.
        """
        for start in starts:
            if not self.runs.has_open_runs(start):
                self._report_losses(start, self._read_clock())

    def _handle_cleared(self, body):
        self._clear_suspicion(body[0])

    def _handle_blocked(self, body):
        fingerprint, rows = body
        starts = [UpstreamStart(*row) for row in rows]
        now = self._read_clock()
        is_new = self._view.blocked.add(fingerprint, now)
        if is_new:
            log_blocked(fingerprint, starts, "reported by a peer")
        elif starts:
            self._view.blocked.renew(fingerprint, now)
        self._evaluator.attribute(fingerprint, starts, now)
        self._parts.attributor.attribute(fingerprint, starts)
        ranked = self._rank_evaluators()
        if is_new and self._name in ranked:
            # The evaluator that blocked it may stop before writing the block.
            delay_s = (1 + ranked.index(self._name)) * WRITE_RETRY_DELAY_S
            eventlet.spawn_n(self._writer.write, fingerprint, delay_s)

    def _rank_evaluators(self):
        return self._ranking.rank(EVALUATORS_KEY)[:MAX_EVALUATORS]

    def _list_evaluator_addresses(self):
        """Return the addresses of the evaluators other than this instance."""
        return self._ranking.find_addresses(self._rank_evaluators())

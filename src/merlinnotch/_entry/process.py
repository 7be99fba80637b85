"""Assembly, start and shutdown of an instance on the platform."""

import logging
import random
import time

import eventlet
from prometheus_client import generate_latest

from .._fleet.mirror import Mirror
from .._fleet.records import decode_record
from .._fleet.view import FleetView
from .._gateway import (
    Forwarder,
    Gateway,
    RelayEndpoint,
    Relayer,
    ServiceChecker,
)
from .._http import HttpServer, UpstreamPool
from .._limits import (
    BEAT_INTERVAL_S,
    LinkBudget,
    MemoryBudget,
    compute_max_connections,
    measure_wire_bytes,
)
from .._placement import LoadPolicy, LoadTable, RampUp, WorkTimes
from .._rate_limits import LimitBook, PermitSchedule
from .._relay import RelayPeers
from .._rollout import AnswerCounts, Schedule
from .._totals import FleetTotals
from ..platform import PlatformStore, decode_item
from .announcer import Announcer
from .change_forwarder import ChangeForwarder
from .clock import read_clock
from .crash_detector import CrashDetector
from .datagrams import DatagramTransport
from .gateway_parts import build_parts, find_engine
from .load_exchange import LoadExchange
from .metrics import EntryMetrics
from .peer_server import PeerServer
from .peers import PeerClient, StateEndpoint
from .permit_exchange import PermitExchange, StoreFleet
from .relay_exchange import RelayExchange
from .rollout_controller import RolloutController
from .slot_exchange import SlotExchange
from .stalls import StallMonitor
from .store_sync import StoreSync
from .totals_exchange import TotalsExchange

logger = logging.getLogger("merlinnotch")

CLEANUP_INTERVAL_S = 1.0
EXPIRY_CHECK_INTERVAL_S = 0.5
"""Longest pause between checks for expired entries; shorter if one expires sooner."""
BALANCER_REMOVAL_S = 2.5
"""Time from the first failing readiness check until the load balancer sends no new
connections; it polls every second and acts on two replies."""
EXIT_RESERVE_S = 0.6
"""Part of the grace period reserved for closing connections and exiting."""
DRAIN_POLL_INTERVAL_S = 0.05
MAX_END_S = 0.3
"""Part of that reserve in which the requests in progress are refused or cut off."""
END_POLL_INTERVAL_S = 0.01
OK = 200
NOT_READY = 503


class EntryProcess:
    """One instance with all its tasks, from :class:`EntrySettings`.

    *caller_socket*, if given, is already listening on the caller address. *started_at*
    is when the process was started, now by default.
    """

    def __init__(self, settings, generator=random, caller_socket=None, started_at=None):
        self._started_at = read_clock() if started_at is None else started_at
        self.settings = settings
        self._generator = generator
        self._caller_socket = caller_socket
        self.metrics = EntryMetrics()
        self.metrics.link_capacity.set(settings.link.bytes_per_s)
        self.mirror = Mirror()
        self.pool = UpstreamPool(read_clock)
        # Peers check the address that relayed requests come from.
        own_host = settings.instance.peer_address.rpartition(":")[0]
        self._peer_pool = UpstreamPool(read_clock, own_host)
        self.view = FleetView(
            _decode_entry,
            self._drop_upstream,
            self._drop_previous_start,
            settings.store.in_force_s,
            self._record_listed,
        )
        self.limit_book = LimitBook()
        self._permit_schedule = PermitSchedule(self.limit_book)
        self._loads = LoadTable(lambda service: find_engine(self.view, service))
        self._work_times = WorkTimes()
        self.load_policy = LoadPolicy(settings.load.modes)
        incarnation = f"{settings.instance.name}/{time.time_ns()}"
        self._counts = AnswerCounts.start(incarnation)
        self.store = self._build_store(settings.store)
        name = settings.instance.name
        self._peer_client = PeerClient(name, self.view, read_clock, self.metrics)
        instance = settings.instance
        self._link_budget = LinkBudget(settings.link.bytes_per_s)
        self.memory = MemoryBudget(
            settings.memory.usable_bytes, MemoryBudget(settings.memory.stalled_bytes)
        )
        self.datagrams = DatagramTransport(
            instance.peer_address, self._record_peer_bytes
        )
        self.load_exchange = LoadExchange(
            self.datagrams,
            name,
            instance.zone,
            self.view,
            read_clock,
            self.apply_load_update,
        )
        self.totals = FleetTotals(instance.zone, self._loads.count_in_flight)
        self.totals_exchange = TotalsExchange(
            self.datagrams,
            name,
            instance.zone,
            self.view,
            read_clock,
            self.totals,
            lambda: self.load_policy.is_any_on(read_clock()),
            lambda direction: self.metrics.totals_messages.labels(direction).inc(),
        )
        self.ramp_up = RampUp(
            name,
            instance.zone,
            self.view,
            self._loads,
            self._work_times,
            self.load_policy,
            self.load_exchange.report_ramp_up,
            generator,
            lambda service: find_engine(self.view, service) is not None,
        )
        self.crash_detector = CrashDetector(
            self.datagrams, self.store, self.view, name, read_clock
        )
        self._stalls = StallMonitor()
        self.change_forwarder = ChangeForwarder(
            self.datagrams,
            name,
            instance.zone,
            instance.peer_address,
            self.view,
            read_clock,
            settings.store.in_force_s,
            self._stalls,
        )
        self.store_sync = StoreSync(
            self.store,
            self.mirror,
            self.view,
            self._peer_client,
            self.change_forwarder,
            read_clock,
            settings.store.watch_s,
            self.metrics,
        )
        self.permit_exchange = PermitExchange(
            self.datagrams,
            name,
            instance.peer_address,
            self.view,
            self.limit_book,
            self._permit_schedule,
            read_clock,
            lambda: self.store_sync.is_connected,
            lambda result: self.metrics.permits.labels(result).inc(),
        )
        self.slot_exchange = SlotExchange(
            self.datagrams,
            name,
            instance.peer_address,
            self.view,
            StoreFleet(self.view, lambda: self.store_sync.is_connected),
            self._loads,
            read_clock,
            lambda result: self.metrics.slot_leases.labels(result).inc(),
        )
        self.relay_exchange = RelayExchange(
            self.datagrams,
            name,
            instance.peer_address,
            instance.zone,
            self.view,
            read_clock,
            RelayPeers(instance.zone, generator),
            generator,
        )
        self._announcer = Announcer(
            self.store,
            name,
            settings.instance.zone,
            settings.instance.peer_address,
            generator,
        )
        self.store.on_restored = self._announcer.announce_again
        self._rollout_controller = RolloutController(
            self.store,
            self.view,
            self._counts,
            self.datagrams,
            Schedule(settings.rollouts.exposure_share, settings.rollouts.slack),
            name,
            read_clock,
        )
        self.read_clock = read_clock
        self.gateway = None
        self._admission_gate = None
        self._servers = []
        self._tasks = []

    def start(self):
        """Open all listeners and start all tasks."""
        instance = self.settings.instance
        parts = build_parts(
            self.settings,
            self.view,
            self.pool,
            self._loads,
            self._work_times,
            self.load_policy,
            self.totals,
            self.ramp_up,
            self.load_exchange,
            self.permit_exchange,
            self.slot_exchange,
            self._permit_schedule,
            self.crash_detector,
            self._counts,
            Relayer(
                instance.name,
                self.relay_exchange,
                self._peer_pool,
                self.metrics,
                self.memory,
                read_clock,
            ),
            self.metrics,
            self.memory,
            self._generator,
            self._started_at,
        )
        self._admission_gate = parts.admission_gate
        self.gateway = Gateway(
            instance.caller_address,
            Forwarder(parts),
            parts,
            self._link_budget,
            sock=self._caller_socket,
            max_connections=compute_max_connections(self.settings.descriptors.max),
        )
        self.view.blocked.on_added = self.gateway.end_blocked_requests
        relay_endpoint = RelayEndpoint(self.gateway, self.view, self.metrics)
        self._connect_relays(parts, relay_endpoint)
        state_endpoint = StateEndpoint(self.mirror)
        self._servers = [
            HttpServer(instance.ready_address, self.respond_ready, read_clock),
            PeerServer(
                instance.peer_address,
                state_endpoint,
                relay_endpoint,
                read_clock,
                self._record_peer_bytes,
                self.memory,
            ),
            HttpServer(instance.metrics_address, self._respond_metrics, read_clock),
        ]
        for task in (
            self.store_sync.run,
            self._announcer.run,
            self._rollout_controller.run,
            self.datagrams.run,
            self.load_exchange.run,
            self.totals_exchange.run,
            self.relay_exchange.run,
            self.crash_detector.run,
            self._run_beats,
            self._clean_up,
            self._remove_expired,
        ):
            self._tasks.append(eventlet.spawn(_run_forever, task))
        logger.info("started", extra={"address": instance.caller_address})

    def _connect_relays(self, parts, relay_endpoint):
        """Let the exchange answer what this instance can relay for others."""
        exchange = self.relay_exchange
        exchange.service_checker = ServiceChecker(
            self.view, self._loads, parts.prober, read_clock, self._generator
        )
        exchange.count_in_flight = lambda: self.gateway.in_flight
        exchange.accepts_relays = lambda: relay_endpoint.accepts_requests

    def shut_down(self):
        """Finish requests in progress and return within the grace period."""
        started_at = read_clock()
        deadline = started_at + self.settings.shutdown.grace_s - EXIT_RESERVE_S
        self.gateway.begin_shutdown()
        logger.info("shutting down", extra={"in_flight": self.gateway.in_flight})
        eventlet.spawn_n(self._announcer.stop)
        eventlet.sleep(BALANCER_REMOVAL_S)
        self.gateway.refuse_longer_than(deadline)
        self.gateway.close_idle()
        while self.gateway.is_busy and read_clock() < deadline:
            eventlet.sleep(DRAIN_POLL_INTERVAL_S)
            self.gateway.close_idle()
        self.gateway.close()
        cut = self.gateway.in_flight
        self.gateway.end_requests()
        while self.gateway.in_flight and read_clock() < deadline + MAX_END_S:
            eventlet.sleep(END_POLL_INTERVAL_S)
        logger.info("stopped", extra={"cut": cut})

    def stop(self):
        """Stop all tasks and listeners without waiting for requests in progress."""
        for task in self._tasks:
            task.kill()
        for server in [*self._servers, self.datagrams, self.gateway]:
            server.close()
        self.gateway.close_idle()

    def reload(self, settings):
        """Apply a changed store address and changed modes of decisions under load.

        Other settings need a restart.
        """
        if settings == self.settings:
            return
        self.store.set_address(settings.store.address)
        self.load_policy.modes = settings.load.modes
        self.settings = settings
        logger.info("settings reloaded", extra={"store": settings.store.address})

    def _build_store(self, settings):
        return PlatformStore(
            settings.address,
            read_clock,
            settings.timeout_s,
            on_call=lambda kind: self.metrics.store_calls.labels(kind).inc(),
        )

    def measure_backlog(self, upstream_id):
        """Return the prefill time queued at an upstream, in milliseconds."""
        upstream = self.view.find_upstream(upstream_id)
        return self._loads.get(upstream).backlog.measure(read_clock())

    def apply_load_update(self, update):
        """Apply a :class:`LoadUpdate` from another instance."""
        upstream = self.view.find_start(update.start)
        if upstream is None:
            return
        now = read_clock()
        load = self._loads.get(upstream)
        load.backlog.record(update.prefill_ms, now)
        if update.running is not None:
            load.record_report(update.running, update.waiting, now)
        if update.slowdown is not None:
            load.set_slowdown(update.slowdown, now)
        if update.window is not None or update.work_ms is not None:
            self.ramp_up.apply_report(upstream, update.window, update.work_ms, now)

    def _record_listed(self, upstream):
        self.ramp_up.record_listed(upstream, read_clock())

    def _record_peer_bytes(self, size):
        self._link_budget.charge(measure_wire_bytes(size))

    def _drop_upstream(self, upstream):
        self.crash_detector.record_removed(upstream)
        self.pool.close_start(upstream.start)
        self._loads.drop(upstream.start)
        self._work_times.drop(upstream.start)
        self.ramp_up.drop(upstream.start)
        self.load_exchange.forget(upstream.start)
        self.permit_exchange.forget(upstream.start)

    def _drop_previous_start(self, upstream):
        """Drop all state of an upstream's previous start.

        Its requests in progress ended with it, even if its host can no longer close
        their connections.
        """
        self.pool.abort(upstream.start)
        self._drop_upstream(upstream)
        self.permit_exchange.forget_start(upstream.start)
        self.slot_exchange.forget(upstream.start)

    def _run_beats(self):
        while True:
            now = read_clock()
            self._stalls.record_beat(now)
            self.gateway.record_beat(now)
            eventlet.sleep(BEAT_INTERVAL_S)

    def _clean_up(self):
        while True:
            eventlet.sleep(CLEANUP_INTERVAL_S)
            self.pool.close_expired()
            self._peer_pool.close_expired()
            self.crash_detector.sweep(read_clock())

    def _remove_expired(self):
        while True:
            left_s = self.view.remove_expired(read_clock())
            eventlet.sleep(
                EXPIRY_CHECK_INTERVAL_S
                if left_s is None
                else min(EXPIRY_CHECK_INTERVAL_S, left_s)
            )

    def respond_ready(self, request):
        """Return status, header fields and body of the readiness endpoint."""
        ready = self.view.is_ready and not self.gateway.is_shutting_down
        return (OK if ready else NOT_READY), [], b""

    def _respond_metrics(self, request):
        configuration = self.view.configuration
        self.metrics.version.set(configuration.version if configuration else 0)
        self.metrics.rejected.set(self.view.rejected_count)
        self.metrics.evacuated.set(len(self.view.list_evacuated_zones()))
        self.metrics.limited.set(len(self.limit_book.list_limited()))
        self.metrics.set_service_waits(self._admission_gate.list_waits(read_clock()))
        self.metrics.ramp_up_window.clear()
        for window in self.ramp_up.list_windows():
            gauge = self.metrics.ramp_up_window.labels(window.upstream.id)
            gauge.set(window.size)
        self.metrics.held_bytes.set(self.memory.held_bytes)
        text = generate_latest(self.metrics.registry)
        return OK, [("content-type", "text/plain; version=0.0.4")], text


def _decode_entry(key, value, index):
    decoded = decode_item(key, value, index)
    return decoded if decoded is not None else decode_record(key, value, index)


def _run_forever(task):
    """Run a task that never returns; log exceptions and restart it."""
    while True:
        try:
            task()
        except Exception:
            logger.exception(
                "task failed; restarting it", extra={"task": task.__qualname__}
            )
            eventlet.sleep(CLEANUP_INTERVAL_S)

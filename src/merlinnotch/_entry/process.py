"""Putting an instance for the platform together, and taking it down."""

import logging
import random
import time

import eventlet
from prometheus_client import generate_latest

from .._fleet.mirror import Mirror
from .._fleet.records import decode_record
from .._fleet.view import FleetView
from .._gateway import Forwarder, Gateway
from .._http import PageServer, UpstreamPool
from .._placement import LoadTable
from .._rollout import AnswerCounts, Schedule
from ..platform import PlatformStore, decode_item
from .announcer import Announcer
from .clock import read_clock
from .conductor import Conductor
from .crashes import CrashWatch
from .datagrams import DatagramPort
from .feed import ZoneFeed
from .follower import Follower
from .metrics import EntryMetrics
from .news import LoadNews
from .parts import build_parts, find_engine
from .peers import PeerClient, PeerPages

logger = logging.getLogger("merlinnotch")

SWEEP_S = 1.0
LAPSE_S = 0.5
"""How often lapsed entries are looked for; one that was just seen is kept for at
least 0.9 s, and dropped when that ends, not at the next look."""
BALANCER_S = 2.5
"""After this long without readiness the balancer sends no new connections: it
asks once a second and acts on two answers."""
LAST_CALL_S = 0.6
"""Time kept at the end of the grace period to close connections and exit."""
POLL_S = 0.05
OK = 200
NOT_READY = 503


class EntryProcess:
    """One instance with all its tasks, from :class:`EntrySettings`.

    *caller_socket* listens on the caller address already, where it is given.
    """

    def __init__(self, settings, generator=random, caller_socket=None):
        self.settings = settings
        self._generator = generator
        self._caller_socket = caller_socket
        self.metrics = EntryMetrics()
        self.mirror = Mirror()
        self.pool = UpstreamPool(read_clock)
        self.view = FleetView(
            _decode,
            self._drop_upstream,
            self._drop_start,
            settings.store.in_force_s,
        )
        self._loads = LoadTable(lambda service: find_engine(self.view, service))
        incarnation = f"{settings.instance.name}/{time.time_ns()}"
        self._counts = AnswerCounts.start(incarnation)
        self.store = self._build_store(settings.store)
        name = settings.instance.name
        self._peers = PeerClient(name, self.view, read_clock, self.metrics)
        place = settings.instance
        self.datagrams = DatagramPort(place.peer_address)
        self.news = LoadNews(
            self.datagrams, name, place.zone, self.view, read_clock, self.take_load
        )
        self.crashes = CrashWatch(
            self.datagrams, self.store, self.view, name, read_clock
        )
        self.feed = ZoneFeed(
            self.datagrams,
            name,
            place.zone,
            place.peer_address,
            self.view,
            read_clock,
            settings.store.in_force_s,
        )
        self.follower = Follower(
            self.store,
            self.mirror,
            self.view,
            self._peers,
            self.feed,
            read_clock,
            settings.store.watch_s,
            self.metrics,
        )
        self._announcer = Announcer(
            self.store,
            name,
            settings.instance.zone,
            settings.instance.peer_address,
            generator,
        )
        self._conductor = Conductor(
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
        self._servers = []
        self._tasks = []

    def start(self):
        """Open all listeners and start all tasks."""
        place = self.settings.instance
        parts = build_parts(
            self.settings,
            self.view,
            self.pool,
            self._loads,
            self.news,
            self.crashes,
            self._counts,
            self.metrics,
            self._generator,
        )
        self.gateway = Gateway(
            place.caller_address, Forwarder(parts), parts, sock=self._caller_socket
        )
        pages = PeerPages(self.mirror)
        self._servers = [
            PageServer(place.ready_address, self.respond_ready, read_clock),
            PageServer(place.peer_address, pages.respond, read_clock),
            PageServer(place.metrics_address, self._respond_metrics, read_clock),
        ]
        for task in (
            self.follower.run,
            self._announcer.run,
            self._conductor.run,
            self.datagrams.run,
            self.news.run,
            self.crashes.run,
            self._sweep,
            self._drop_lapsed,
        ):
            self._tasks.append(eventlet.spawn(_run_forever, task))
        logger.info("started", extra={"address": place.caller_address})

    def shut_down(self):
        """Answer what is in progress, then return; ends within the grace period."""
        started_at = read_clock()
        until = started_at + self.settings.shutdown.grace_s - LAST_CALL_S
        self.gateway.leaving = True
        logger.info("leaving", extra={"in_flight": self.gateway.in_flight})
        eventlet.spawn_n(self._announcer.stop)
        eventlet.sleep(BALANCER_S)
        self.gateway.refuse_after(until)
        self.gateway.close_idle()
        while self.gateway.in_flight and read_clock() < until:
            eventlet.sleep(POLL_S)
            self.gateway.close_idle()
        self.gateway.close()
        fields = {"cut": self.gateway.in_flight}
        logger.info("stopped", extra=fields)

    def stop(self):
        """End all tasks and listeners at once, whatever is in progress."""
        for task in self._tasks:
            task.kill()
        for server in [*self._servers, self.datagrams, self.gateway]:
            server.close()
        self.gateway.close_idle()

    def reload(self, settings):
        """Follow the store to another address; the rest needs a restart."""
        if settings == self.settings:
            return
        self.store.move_to(settings.store.address)
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
        """Return the milliseconds of reading that wait at an upstream."""
        upstream = self.view.find_upstream(upstream_id)
        return self._loads.get(upstream).backlog.measure(read_clock())

    def take_load(self, row):
        """Take what another instance says of an upstream's load."""
        upstream = self.view.find_start(row.start)
        if upstream is None:
            return
        now = read_clock()
        load = self._loads.get(upstream)
        load.backlog.note(row.reading_ms, now)
        if row.running is not None:
            load.note_report(row.running, row.waiting, now)
        if row.slowdown is not None:
            load.set_slowdown(row.slowdown, now)

    def _drop_upstream(self, upstream):
        self.crashes.note_gone(upstream)
        self.pool.drop(upstream.start)
        self._loads.drop(upstream.start)
        self.news.forget(upstream.start)

    def _drop_start(self, upstream):
        """Forget all that an upstream held before it started again.

        What is under way there has ended with it, also where its machine can't
        say so any more.
        """
        self.pool.break_off(upstream.start)
        self._drop_upstream(upstream)

    def _sweep(self):
        while True:
            eventlet.sleep(SWEEP_S)
            self.pool.close_old()
            self.crashes.sweep(read_clock())

    def _drop_lapsed(self):
        while True:
            left_s = self.view.drop_lapsed(read_clock())
            eventlet.sleep(LAPSE_S if left_s is None else min(LAPSE_S, left_s))

    def respond_ready(self, request):
        """Return status, fields and body of the readiness page."""
        ready = self.view.is_ready and not self.gateway.leaving
        return (OK if ready else NOT_READY), [], b""

    def _respond_metrics(self, request):
        configuration = self.view.configuration
        self.metrics.version.set(configuration.version if configuration else 0)
        self.metrics.rejected.set(self.view.rejected)
        self.metrics.evacuated.set(len(self.view.list_evacuated_zones()))
        text = generate_latest(self.metrics.registry)
        return OK, [("content-type", "text/plain; version=0.0.4")], text


def _decode(key, value, index):
    fact = decode_item(key, value, index)
    return fact if fact is not None else decode_record(key, value, index)


def _run_forever(task):
    """Run a task that never returns; a fault is logged and it starts again."""
    while True:
        try:
            task()
        except Exception:
            logger.exception("task failed", extra={"task": task.__qualname__})
            eventlet.sleep(SWEEP_S)

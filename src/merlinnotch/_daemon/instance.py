"""Assembly, start and graceful shutdown of an entry instance."""

import logging
import random
import time

import eventlet
from prometheus_client import generate_latest

from .._bookkeeping.ledger import Ledger
from .._bookkeeping.outbox import Outbox
from .._callers.answer_cache import AnswerCache
from .._callers.app import CallerApp
from .._callers.chat import ChatHandler
from .._callers.deduplication import Deduplicator
from .._callers.parsing import CallParser
from .._callers.services import ServiceHandler
from .._control.configurer import Configurer
from .._control.guardian import Guardian
from .._control.orderer import Orderer
from .._limits import MemoryBudget, RetryBudget, find_memory_bytes
from .._links.gossiper import Gossiper
from .._links.peers import PeerTransport
from .._links.permits import GossipFleet, PeerPermitLink, register_handlers
from .._links.status import StatusReporter
from .._links.tallies import Tallies
from .._rate_limits import Permits
from .._routing import QualityEstimator, UpstreamTable
from .._sessions import SessionSigner
from .._store import HttpStore
from .._upstreams.admission import Admission
from .._upstreams.client import UpstreamClient
from .._upstreams.directory import Directory
from .._upstreams.loads import Loads
from .._upstreams.notices import ResponseNotices
from .._upstreams.ratings import Raters
from .metrics import Metrics
from .server import CallerServer
from .state import InstanceState

logger = logging.getLogger("merlinnotch")

DEFAULT_QUEUE_LIMIT = 256
DEFAULT_RETRY_RATIO = 0.1
POLL_INTERVAL_S = 0.05
MAX_END_S = 0.5
"""Time for the answers to requests that are ended at a shutdown."""
USABLE_MEMORY_SHARE = 0.2
"""Share of the process's memory for bodies of requests and responses. Three quarters of
it hold the longest response at 128 MB, and the process itself takes half of that."""


class EntryInstance:
    """One entry instance with all its tasks."""

    def __init__(self, settings):
        self._settings = settings
        incarnation = int(time.time() * 1000)
        metrics = Metrics()
        store = HttpStore(
            settings.store_addresses,
            settings.store_timeout_s,
            on_call=lambda kind: metrics.store_calls.labels(kind).inc(),
            source_ip=settings.peer_address.partition(":")[0],
        )
        peers = PeerTransport(settings, metrics)
        configurer = Configurer(store, metrics, self._apply_quarantine)
        gossiper = Gossiper(settings, peers, configurer, metrics, incarnation)
        upstream_table = UpstreamTable(settings.zone)
        admission = Admission(upstream_table, DEFAULT_QUEUE_LIMIT)
        ledger = Ledger(
            settings, store, peers, gossiper.membership, metrics, incarnation
        )
        outbox = Outbox(
            settings, ledger, peers, gossiper.membership, metrics, incarnation
        )
        quality_estimator = QualityEstimator()
        tallies = Tallies(settings, gossiper, incarnation)
        rating_client = Raters(settings, tallies, self._get_quality_target)
        guardian = Guardian(
            gossiper, configurer, store, tallies, quality_estimator, metrics
        )
        permits = Permits(
            settings.instance,
            GossipFleet(settings.zone, gossiper.membership, upstream_table),
            PeerPermitLink(settings, peers, gossiper.membership),
            upstream_table.limit_book,
            upstream_table.schedule,
            time.monotonic,
            lambda result: metrics.permits.labels(result).inc(),
        )
        register_handlers(peers, permits)
        notices = ResponseNotices(
            upstream_table, gossiper, permits, admission.handle_notice
        )
        loads = Loads(
            settings, upstream_table, gossiper, metrics, admission.dispatch, notices
        )
        self.state = InstanceState(
            settings=settings,
            metrics=metrics,
            configurer=configurer,
            peers=peers,
            membership=gossiper.membership,
            upstream_table=upstream_table,
            loads=loads,
            notices=notices,
            permits=permits,
            admission=admission,
            ledger=ledger,
            outbox=outbox,
            answer_cache=AnswerCache(),
            client=UpstreamClient(settings.peer_address.partition(":")[0], notices),
            signer=SessionSigner(settings.signing_keys),
            budget=RetryBudget(DEFAULT_RETRY_RATIO),
            quality_estimator=quality_estimator,
            tallies=tallies,
            rating_client=rating_client,
            guardian=guardian,
            memory=MemoryBudget(
                USABLE_MEMORY_SHARE * (settings.memory_bytes or find_memory_bytes())
            ),
        )
        configurer.add_listener(self._apply_catalogue)
        self._gossiper = gossiper
        self._tasks = (
            configurer,
            gossiper,
            Directory(settings, upstream_table, peers, gossiper.membership),
            loads,
            outbox,
            rating_client,
            guardian,
            Orderer(
                settings,
                store,
                upstream_table,
                gossiper.membership,
                configurer,
                metrics,
                notices,
            ),
            StatusReporter(settings, store, gossiper, guardian),
        )

    def start(self):
        """Start all tasks and listen for callers."""
        self.state.peers.start()
        for task in self._tasks:
            task.start()
        state = self.state
        deduplicator = Deduplicator(state)
        parser = CallParser(self._settings, state.configurer.tracker, state.signer)
        generator = random.Random()
        app = CallerApp(
            state,
            parser,
            ChatHandler(state, generator, deduplicator),
            ServiceHandler(state, deduplicator),
        )
        self._app = app
        self._server = CallerServer(self._settings.caller_address, app)
        CallerServer(self._settings.metrics_address, self._respond_to_operator)
        logger.info("started")

    def shut_down(self):
        """Shut down gracefully; return whether all work was finished in time.

        Readiness probes fail at once, while new connections are accepted for the drain
        time, until the load balancer has reacted. Then listening stops, requests that
        are arriving or in progress end, and bills are posted. Requests that would take
        longer are refused; shortly before the time limit those in progress are answered
        with what is known of them.
        """
        logger.info("shutting down")
        self.state.leaving = True
        self._gossiper.leaving = True
        deadline = time.monotonic() + self._settings.shutdown_s
        eventlet.sleep(self._settings.drain_s)
        self._server.stop_accepting()
        answers_end_at = deadline - min(MAX_END_S, self._settings.shutdown_s / 2)
        self._app.refuse_longer_than(answers_end_at)
        finished = _wait_until(self._has_ended_requests, answers_end_at)
        if not finished:
            self._app.end_requests()
            _wait_until(self._has_ended_requests, deadline)
        cut = self._server.count_busy()
        finished = (
            _wait_until(lambda: len(self.state.outbox) == 0, deadline) and finished
        )
        logger.info("stopped", extra={"finished": finished, "cut": cut})
        return finished

    def _has_ended_requests(self):
        """Close idle connections; return whether no request arrives or runs."""
        self._server.close_idle()
        return not self._server.is_busy

    def _respond_to_operator(self, environ, start_response):
        path = environ["PATH_INFO"]
        if path == "/metrics":
            body = generate_latest(self.state.metrics.registry)
            start_response("200 OK", [("Content-Type", "text/plain; version=0.0.4")])
            return [body]
        is_passing = self.state.is_probe_passing(path)
        status = "200 OK" if is_passing else "503 Service Unavailable"
        start_response(status, [("Content-Type", "text/plain")])
        return [b"ok\n" if is_passing else b"no\n"]

    def _get_quality_target(self, kind_name):
        catalogue = self.state.configurer.tracker.catalogue
        kind = catalogue.kinds.get(kind_name) if catalogue else None
        return kind.quality_target if kind else 0.0

    def _apply_quarantine(self, version_id, quarantine):
        self.state.guardian.apply_quarantine(version_id, quarantine)

    def _apply_catalogue(self, catalogue):
        self.state.admission.set_queue_limit(catalogue.tuning.queue_limit)
        self.state.budget.ratio = catalogue.tuning.retry_ratio


def _wait_until(condition, deadline):
    while time.monotonic() < deadline:
        if condition():
            return True
        eventlet.sleep(POLL_INTERVAL_S)
    return condition()

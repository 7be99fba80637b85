"""Prometheus metrics of one instance."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

WAIT_BUCKETS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)
LATENCY_BUCKETS = (0.05, 0.1, 0.2, 0.5, 1, 2, 4, 8, 16, 32)


class EntryMetrics:
    """All metrics of the process, in a registry of their own. Times are in seconds."""

    def __init__(self):
        self.registry = CollectorRegistry()
        self.requests = self._counter("requests", "Requests by outcome", "outcome")
        self.refusals = self._counter("refusals", "Refusals by error kind", "kind")
        self.accept_pauses = self._counter(
            "accept_pauses",
            "Times that new connections were refused, by what is overloaded",
            "reason",
        )
        self.kept_closes = self._counter(
            "kept_closes",
            "Kept connections closed early, by what is overloaded",
            "reason",
        )
        self.retries = self._counter(
            "retries", "Sends that failed, by reason", "reason"
        )
        self.mismatches = self._counter(
            "mismatched_responses",
            "Responses that are not known to answer the request, by reason",
            "reason",
        )
        self.permits = self._counter(
            "permits", "Permits asked for limited upstreams, by result", "result"
        )
        self.read_limits = self._counter(
            "read_limits", "Sends that this instance ended, by limit", "limit"
        )
        self.slot_leases = self._counter(
            "slot_leases", "Leases asked for on slots of brittle upstreams", "result"
        )
        self.relays = self._counter(
            "relays",
            "Relayed requests by direction, sent or received, and result",
            "direction",
            "result",
        )
        self.totals_messages = self._counter(
            "totals_messages",
            "Messages with requests in flight and demand, sent or received",
            "direction",
        )
        self.store_calls = self._counter("store_calls", "Store calls by kind", "kind")
        self.peer_calls = self._counter("peer_calls", "Calls to peers by kind", "kind")
        self.losses = self._counter(
            "dependency_losses", "Times that a dependency was lost", "name"
        )
        self.request_time = Histogram(
            "merlinnotch_request_seconds",
            "Time from first byte to the end of the answer",
            registry=self.registry,
            buckets=LATENCY_BUCKETS,
        )
        self.admission = self._counter(
            "admission",
            "Admission decisions on requests by rank, 0 for the most urgent",
            "decision",
            "rank",
        )
        self.admission_wait = Histogram(
            "merlinnotch_admission_wait_seconds",
            "Time that requests waited at this instance for room at the upstreams",
            registry=self.registry,
            buckets=WAIT_BUCKETS,
        )
        self.service_wait = Gauge(
            "merlinnotch_service_wait_seconds",
            "Expected wait for a slot of a service for which admission is on",
            ("service",),
            registry=self.registry,
        )
        self.link_bytes = Counter(
            "merlinnotch_link_bytes",
            "Bytes of requests from callers and of responses to them",
            registry=self.registry,
        )
        self.link_capacity = Gauge(
            "merlinnotch_link_capacity_bytes",
            "Bytes a second that the network link carries, 0 if unknown",
            registry=self.registry,
        )
        self.held_bytes = Gauge(
            "merlinnotch_held_bytes",
            "Bytes of requests and responses in memory",
            registry=self.registry,
        )
        self.version = Gauge(
            "merlinnotch_configuration_version",
            "Version of the configuration in force",
            registry=self.registry,
        )
        self.evacuated = Gauge(
            "merlinnotch_evacuated_zones",
            "Availability zones whose upstreams are to get no new work",
            registry=self.registry,
        )
        self.limited = Gauge(
            "merlinnotch_limited_upstreams",
            "Upstreams that name a limit on their requests per second",
            registry=self.registry,
        )
        self.ramp_up_window = Gauge(
            "merlinnotch_ramp_up_window",
            "Requests in flight allowed to an upstream that ramps up",
            ["upstream"],
            registry=self.registry,
        )
        self.rejected = Gauge(
            "merlinnotch_rejected_documents",
            "Documents in the store that could not be used, by change",
            registry=self.registry,
        )

    def set_service_waits(self, waits):
        """Replace the waits of all services by *waits*, seconds by service."""
        self.service_wait.clear()
        for service, wait_s in waits.items():
            self.service_wait.labels(service).set(wait_s)

    def _counter(self, name, documentation, *labels):
        return Counter(
            f"merlinnotch_{name}", documentation, labels, registry=self.registry
        )

"""Prometheus metrics of one instance."""

import contextlib
import time

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.process_collector import ProcessCollector

LATENCY_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5)


class Metrics:
    """All metrics of an instance, in their own registry. Times are in seconds."""

    def __init__(self):
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        self.requests = self._counter("requests", "Requests by outcome", "outcome")
        self.refusals = self._counter("refusals", "Refusals by error kind", "kind")
        self.retries = self._counter("retries", "Retries by reason", "reason")
        self.retries_denied = self._counter(
            "retries_denied", "Retries not made, by reason", "reason"
        )
        self.permits = self._counter(
            "permits", "Permits asked for limited upstreams, by result", "result"
        )
        self.store_calls = self._counter("store_calls", "Store calls by kind", "kind")
        self.store_failures = self._counter(
            "store_failures", "Store calls without reply"
        )
        self.revisions = self._counter(
            "revision_offers", "Offered revisions by what became of them", "result"
        )
        self.commits = self._counter(
            "ledger_commits", "Ledger batches by result", "result"
        )
        self.records = self._counter(
            "ledger_records", "Ledger records by verdict", "verdict"
        )
        self.bills = self._counter("bills", "Bills by step", "step")
        self.joined_requests = self._counter(
            "joined_requests", "Requests answered by another run"
        )
        self.control_bytes = self._counter(
            "control_bytes", "Bytes of control between instances", "direction"
        )
        self.control_cpu = self._counter(
            "control_cpu_seconds", "Processor time spent on control"
        )
        self.orders = self._counter("orders", "Orders to upstreams by reply", "reply")
        self.guard_alarms = self._counter(
            "guard_alarms", "Alarms of the version guard", "reason"
        )
        self.claim_seconds = Histogram(
            "merlinnotch_claim_seconds",
            "Time to commit a claim",
            registry=self.registry,
            buckets=LATENCY_BUCKETS,
        )
        self.revision = self._gauge("revision", "Revision in force")
        self.revision_taken_at = self._gauge(
            "revision_taken_at", "When the revision in force was taken, in Unix time"
        )
        self.unposted_bills = self._gauge(
            "unposted_bills", "Bills not yet in the ledger"
        )
        self.in_progress = self._gauge("requests_in_progress", "Requests in progress")
        self.leaving = self._gauge(
            "upstream_leaving", "Whether an upstream gets no new work", "upstream"
        )
        self.members = self._gauge("live_members", "Live instances known")

    @contextlib.contextmanager
    def measure_control(self):
        """Add the CPU time of a block to its counter; the block must not wait."""
        started_at = time.thread_time()
        try:
            yield
        finally:
            self.control_cpu.inc(time.thread_time() - started_at)

    def _counter(self, name, help_text, *labels):
        return Counter(f"merlinnotch_{name}", help_text, labels, registry=self.registry)

    def _gauge(self, name, help_text, *labels):
        return Gauge(f"merlinnotch_{name}", help_text, labels, registry=self.registry)

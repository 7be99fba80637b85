"""Polling of upstreams' load, and its distribution by gossip."""

import time
from typing import Annotated

import eventlet
import urllib3
from pydantic import BaseModel, Field, ValidationError

from .._daemon.task import Task
from .._links.gossiper import LOAD, VERSIONS
from .._peers import LoadedVersions, LoadReport, get_highest_ranked
from .._pooled_http import make_pool_manager, read_body
from .client import releasing_connection

LOAD_PATH = "/load"
TIMEOUT_S = 0.5
MAX_REPORT_BYTES = 1 << 20
"""A report names the versions that the upstream has loaded."""
LEAVING_STATUS = 410
MIN_POLL_INTERVAL_S = 0.5
MAX_REPORTS_PER_S = 20
"""Load reports per zone; limits the gossip traffic between its instances."""

MAX_REQUESTS = 10**6
MAX_VERSIONS = 1000
MAX_NAME_LENGTH = 256
"""Reports are sent to all instances."""

REPUBLISH_INTERVAL_MS = 5000


_Count = Annotated[int, Field(ge=0, le=MAX_REQUESTS)]


class _Load(BaseModel):
    running: _Count
    waiting: _Count
    slots: _Count
    versions: Annotated[
        list[Annotated[str, Field(max_length=MAX_NAME_LENGTH)]],
        Field(max_length=MAX_VERSIONS),
    ] = []


class Loads(Task):
    """Polls the load of upstreams in the zone of this instance.

    Rendezvous hashing assigns each upstream to one live instance of its zone, and
    gossip distributes the reports. The polling rate of an upstream does therefore not
    depend on the number of instances.
    """

    @property
    def interval_s(self):
        """The polling interval in seconds; grows with the upstreams in the zone."""
        return max(MIN_POLL_INTERVAL_S, self._zone_upstream_count / MAX_REPORTS_PER_S)

    def __init__(self, settings, table, gossiper, metrics, on_change, notices):
        super().__init__()
        self._settings = settings
        self._table = table
        self._gossiper = gossiper
        self._metrics = metrics
        self._on_change = on_change
        self._notices = notices
        self._http = make_pool_manager(num_pools=256, maxsize=1, retries=False)
        self._pending_ids = set()
        self._zone_upstream_count = 0
        gossiper.add_listener(LOAD, self._handle_load)
        gossiper.add_listener(VERSIONS, self._handle_versions)

    def run_once(self):
        now = time.monotonic()
        zone = self._settings.zone
        members = self._gossiper.membership.list_live(now, zone)
        upstreams = list(self._table)
        self._zone_upstream_count = sum(1 for u in upstreams if u.listed.zone == zone)
        for upstream in upstreams:
            listed = upstream.listed
            leaving = upstream.is_leaving(now)
            self._metrics.leaving.labels(listed.id).set(int(leaving))
            if listed.zone != zone or listed.id in self._pending_ids:
                continue
            if upstream.get_rest_s(now) > 0.0:
                continue
            if get_highest_ranked(listed.id, members) in (
                None,
                self._settings.instance,
            ):
                self._start_poll(upstream)

    def _start_poll(self, upstream):
        self._pending_ids.add(upstream.listed.id)
        eventlet.spawn(self._poll, upstream)

    def _poll(self, upstream):
        try:
            self.poll(upstream)
        except urllib3.exceptions.HTTPError:
            upstream.record_failure(time.monotonic(), unreachable=True)
        finally:
            self._pending_ids.discard(upstream.listed.id)

    def poll(self, upstream):
        """Read the load of *upstream* once and publish it."""
        listed = upstream.listed
        url = f"http://{listed.address}{LOAD_PATH}"
        # The body is read later, so that a notice is recorded even if that fails.
        asked_at = time.monotonic()
        reply = self._http.request("GET", url, timeout=TIMEOUT_S, preload_content=False)
        with releasing_connection(reply):
            now = time.monotonic()
            notice = self._notices.record(upstream, reply, now)
            self._notices.record_limit(upstream, notice, asked_at, now)
            data = read_body(reply, asked_at + TIMEOUT_S, MAX_REPORT_BYTES)
        if reply.status == LEAVING_STATUS:
            self._notices.report_leaving(upstream, now)
        elif reply.status == 200:
            load = _decode_load(data)
            if load is not None:
                self._publish(listed.id, load)

    def _publish(self, upstream_id, load):
        at_ms = int(time.time() * 1000)
        report = LoadReport(at_ms, load.running, load.waiting, load.slots)
        # Unchanged reports are published less often.
        previous = self._gossiper.state.get((LOAD, upstream_id))
        unchanged = report.has_same_load(previous)
        if not (unchanged and at_ms - previous.at_ms < REPUBLISH_INTERVAL_MS):
            self._gossiper.publish(LOAD, (upstream_id,), report)
        versions = tuple(sorted(load.versions))
        previous_versions = self._gossiper.state.get((VERSIONS, upstream_id))
        if versions and (
            previous_versions is None or previous_versions.versions != versions
        ):
            loaded = LoadedVersions(at_ms, versions)
            self._gossiper.publish(VERSIONS, (upstream_id,), loaded)

    def _handle_load(self, key, report):
        self._table.record_load(key[1], report, time.monotonic())
        self._on_change()

    def _handle_versions(self, key, loaded):
        self._table.record_versions(key[1], loaded.versions)


def _decode_load(data):
    """Return the :class:`_Load` in *data*, None if it can't be read.

    Such a report says nothing about the upstream.
    """
    try:
        return _Load.model_validate_json(data)
    except ValidationError:
        return None

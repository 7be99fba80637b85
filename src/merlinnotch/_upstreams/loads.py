"""Asking upstreams for their load, and sharing what they say."""

import json
import time

import eventlet
import urllib3

from .._daemon.task import Task
from .._links.gossiper import LEAVING, LOAD, VERSIONS
from .._peers import Leaving, LoadedVersions, LoadReport, rank_first

LOAD_PATH = "/load"
TIMEOUT_S = 0.5
LEAVING_STATUS = 410
MIN_INTERVAL_S = 0.5
REPORTS_PER_S = 20
"""Reports in a zone; bounds what its instances pass on to each other."""

REPEAT_MS = 5000


class Loads(Task):
    """Asks each upstream of our zone that no peer ranks before us for.

    What one instance hears, the others get by gossip, so that an upstream is
    asked once an interval however many instances there are.
    """

    @property
    def interval_s(self):
        """The more upstreams, the more seldom each is asked, in seconds."""
        return max(MIN_INTERVAL_S, self._in_zone / REPORTS_PER_S)

    def __init__(self, settings, table, gossiper, metrics, on_change):
        super().__init__()
        self._settings = settings
        self._table = table
        self._gossiper = gossiper
        self._metrics = metrics
        self._on_change = on_change
        self._http = urllib3.PoolManager(num_pools=256, maxsize=1, retries=False)
        self._asking = set()
        self._in_zone = 0
        gossiper.listen(LOAD, self._take_load)
        gossiper.listen(VERSIONS, self._take_versions)
        gossiper.listen(LEAVING, self._take_leaving)

    def run_once(self):
        now = time.monotonic()
        zone = self._settings.zone
        members = self._gossiper.membership.list_live(now, zone)
        upstreams = list(self._table)
        self._in_zone = sum(1 for u in upstreams if u.listed.zone == zone)
        for upstream in upstreams:
            listed = upstream.listed
            leaving = upstream.is_leaving(now)
            self._metrics.leaving.labels(listed.id).set(int(leaving))
            if listed.zone != zone or listed.id in self._asking:
                continue
            if rank_first(listed.id, members) in (None, self._settings.instance):
                self._asking.add(listed.id)
                eventlet.spawn(self._ask, upstream)

    def report_leaving(self, upstream_id):
        """Spread an upstream's own word that it leaves."""
        if self._table.note_leaving(upstream_id, time.monotonic()):
            self._gossiper.publish(LEAVING, (upstream_id,), Leaving(time.time()))

    def _ask(self, upstream):
        listed = upstream.listed
        url = f"http://{listed.address}{LOAD_PATH}"
        try:
            reply = self._http.request("GET", url, timeout=TIMEOUT_S)
            if reply.status == LEAVING_STATUS:
                self.report_leaving(listed.id)
            elif reply.status == 200:
                self._publish(listed.id, json.loads(reply.data))
        except urllib3.exceptions.HTTPError:
            upstream.note_failure(time.monotonic(), unreachable=True)
        finally:
            self._asking.discard(listed.id)

    def _publish(self, upstream_id, fields):
        at_ms = int(time.time() * 1000)
        report = LoadReport(
            at_ms, int(fields["running"]), int(fields["waiting"]), int(fields["slots"])
        )
        # What does not change is told again only now and then.
        known = self._gossiper.words.get((LOAD, upstream_id))
        same = report.says_the_same(known)
        if not (same and at_ms - known.at_ms < REPEAT_MS):
            self._gossiper.publish(LOAD, (upstream_id,), report)
        versions = tuple(sorted(fields.get("versions", ())))
        loaded = self._gossiper.words.get((VERSIONS, upstream_id))
        if versions and (loaded is None or loaded.versions != versions):
            word = LoadedVersions(at_ms, versions)
            self._gossiper.publish(VERSIONS, (upstream_id,), word)

    def _take_load(self, key, report):
        self._table.note_load(key[1], report, time.monotonic())
        self._on_change()

    def _take_versions(self, key, loaded):
        self._table.note_versions(key[1], loaded.versions)

    def _take_leaving(self, key, leaving):
        self._table.note_leaving(key[1], time.monotonic())

"""Asking upstreams for their load, and sharing what they say."""

import json
import time

import eventlet
import urllib3

from .._peers import Leaving, LoadReport
from .._peers.membership import rank_first
from .gossiper import LEAVING, LOAD
from .task import Task

LOAD_PATH = "/load"
TIMEOUT_S = 0.5
LEAVING_STATUS = 410


class Loads(Task):
    """Asks each upstream of our zone that no peer ranks before us for.

    What one instance hears, the others get by gossip, so that an upstream is
    asked once an interval however many instances there are.
    """

    interval_s = 0.25

    def __init__(self, settings, table, gossiper, metrics, on_change):
        super().__init__()
        self._settings = settings
        self._table = table
        self._gossiper = gossiper
        self._metrics = metrics
        self._on_change = on_change
        self._http = urllib3.PoolManager(num_pools=256, maxsize=1, retries=False)
        self._asking = set()
        gossiper.listen(LOAD, self._take_load)
        gossiper.listen(LEAVING, self._take_leaving)

    def run_once(self):
        now = time.monotonic()
        zone = self._settings.zone
        members = self._gossiper.membership.list_live(now, zone)
        for upstream in list(self._table):
            listed = upstream.listed
            leaving = upstream.is_leaving(now)
            self._metrics.leaving.labels(listed.id).set(int(leaving))
            if listed.zone != zone or listed.id in self._asking:
                continue
            first = rank_first(listed.id, members)
            if first is None or first.instance == self._settings.instance:
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
                self._gossiper.publish(LOAD, (listed.id,), _parse_load(reply.data))
        except urllib3.exceptions.HTTPError:
            upstream.note_failure(time.monotonic())
        finally:
            self._asking.discard(listed.id)

    def _take_load(self, key, report):
        self._table.note_load(key[1], report, time.monotonic())
        self._on_change()

    def _take_leaving(self, key, leaving):
        self._table.note_leaving(key[1], time.monotonic())


def _parse_load(data):
    fields = json.loads(data)
    return LoadReport(
        at=time.time(),
        running=int(fields["running"]),
        waiting=int(fields["waiting"]),
        slots=int(fields["slots"]),
        versions=tuple(fields.get("versions", ())),
    )

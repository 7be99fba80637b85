"""Reporting a zone's instances to the store, for operators."""

import time

from .._daemon.task import Task
from .._peers import REPORT_EVERY_S, MemberReport, ZoneReport, rank_first
from .._store.keys import STATUS_PREFIX


class StatusReporter(Task):
    """Writes what is known of a zone, from one of its instances.

    The first live member by rendezvous hashing reports, at every change of a
    revision and from time to time; where a zone is split, each part reports
    under the name of its reporter.
    """

    interval_s = 0.5

    def __init__(self, settings, store, gossiper, guardian):
        super().__init__()
        self._settings = settings
        self._store = store
        self._gossiper = gossiper
        self._guardian = guardian
        self._last_view = None
        self._last_report = float("-inf")

    def run_once(self):
        now = time.monotonic()
        zone = self._settings.zone
        members = self._gossiper.membership.list_live(now, zone)
        if rank_first("status", members) != self._settings.instance:
            return
        reports = tuple(self._describe(name, m) for name, m in members.items())
        quarantined = tuple(sorted(self._guardian.quarantined))
        view = [(r.instance, r.revision, r.leaving) for r in reports]
        view.append(quarantined)
        if view == self._last_view and now - self._last_report < REPORT_EVERY_S:
            return
        report = ZoneReport(
            time.time(), zone, self._settings.instance, reports, quarantined
        )
        key = f"{STATUS_PREFIX}{zone}/{self._settings.instance}"
        self._store.put(key, report.encode())
        self._last_view = view
        self._last_report = now

    def _describe(self, name, member):
        beat = self._gossiper.membership.get_beat(name)
        return MemberReport(name, beat.revision, beat.stale_ds / 10, member.leaving)

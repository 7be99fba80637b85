"""Status reports on a zone's instances, written to the store for operators."""

import time

from .._daemon.task import Task
from .._peers import REPORT_EVERY_S, MemberReport, ZoneReport, get_highest_ranked
from .._store.keys import STATUS_PREFIX


class StatusReporter(Task):
    """Writes a zone's status to the store, from one of its instances.

    The live member that ranks first by rendezvous hashing reports, at every change
    of the status and at least every :data:`REPORT_EVERY_S` seconds. In a partitioned
    zone, each partition reports under the name of its reporting instance.
    """

    interval_s = 0.5

    def __init__(self, settings, store, gossiper, guardian):
        super().__init__()
        self._settings = settings
        self._store = store
        self._gossiper = gossiper
        self._guardian = guardian
        self._last_status = None
        self._last_report_at = float("-inf")

    def run_once(self):
        now = time.monotonic()
        zone = self._settings.zone
        members = self._gossiper.membership.list_live(now, zone)
        if get_highest_ranked("status", members) != self._settings.instance:
            return
        reports = tuple(
            self._build_member_report(name, m) for name, m in members.items()
        )
        quarantined = tuple(sorted(self._guardian.quarantined))
        status = [(r.instance, r.revision, r.leaving) for r in reports]
        status.append(quarantined)
        if status == self._last_status and now - self._last_report_at < REPORT_EVERY_S:
            return
        report = ZoneReport(
            time.time(), zone, self._settings.instance, reports, quarantined
        )
        key = f"{STATUS_PREFIX}{zone}/{self._settings.instance}"
        self._store.put(key, report.encode())
        self._last_status = status
        self._last_report_at = now

    def _build_member_report(self, name, member):
        beat = self._gossiper.membership.get_heartbeat(name)
        return MemberReport(name, beat.revision, beat.proof_age_ds / 10, member.leaving)

"""Reading what instances have reported to the store."""

from dataclasses import dataclass

from .._peers import REPORT_EVERY_S, ZoneReport
from .._store.keys import STATUS_PREFIX

CURRENT_WITHIN_S = REPORT_EVERY_S * 2


@dataclass(frozen=True)
class InstanceReport:
    """What is known of one instance; *reported_at* since the epoch.

    *is_current* is False where the report is old: the instance, or its whole
    zone, may have been cut off from the store.
    """

    instance: str
    zone: str
    revision: int
    stale_s: float
    leaving: bool
    reported_at: float
    is_current: bool
    quarantined: tuple[str, ...]


def read_reports(store, now):
    """Return the newest :class:`InstanceReport` of each instance, by name."""
    newest = {}
    for item in store.read(STATUS_PREFIX, recurse=True).items:
        zone_report = ZoneReport.decode(item.value)
        for member in zone_report.members:
            report = InstanceReport(
                member.instance,
                zone_report.zone,
                member.revision,
                member.stale_s,
                member.leaving,
                zone_report.at,
                now - zone_report.at < CURRENT_WITHIN_S,
                zone_report.quarantined,
            )
            known = newest.get(report.instance)
            if known is None or known.reported_at < report.reported_at:
                newest[report.instance] = report
    return [newest[name] for name in sorted(newest)]

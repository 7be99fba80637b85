"""Status reports of instances, read from the store."""

from dataclasses import dataclass

from .._peers import REPORT_EVERY_S, ZoneReport
from .._store.keys import STATUS_PREFIX

MAX_REPORT_AGE_S = REPORT_EVERY_S * 2


@dataclass(frozen=True)
class InstanceReport:
    """The last reported status of an instance.

    *stale_s* is the time in seconds since *revision* was confirmed to be the newest,
    negative if it never was. *reported_at* is in seconds since the epoch. *is_current*
    is False for an old report: the instance or its zone may be cut off from the store.
    *quarantined* are the ids of versions that its zone reports as quarantined.
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
    """Return the newest :class:`InstanceReport` of each instance, sorted by name.

    *now* is in seconds since the epoch.
    """
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
                now - zone_report.at < MAX_REPORT_AGE_S,
                zone_report.quarantined,
            )
            previous = newest.get(report.instance)
            if previous is None or previous.reported_at < report.reported_at:
                newest[report.instance] = report
    return [newest[name] for name in sorted(newest)]

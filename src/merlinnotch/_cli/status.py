"""``merlinnotch status``."""

import time
from dataclasses import asdict

from .._config import RevisionLog, parse_catalogue
from .command import JSON_OPTION, SETTINGS_OPTION, OperatorCommand
from .exits import ExitCode
from .reports import read_reports


class StatusCommand(OperatorCommand):
    """Shows instances and versions."""

    name = "status"
    description = "Show what is in force on each instance, and each version's state."
    options = [SETTINGS_OPTION, JSON_OPTION]

    def run_command(self):
        store, _ = self.open_store()
        current = RevisionLog(store).read_current()
        reports = read_reports(store, time.time())
        versions = self._list_versions(current, reports)
        if self.option("json"):
            self.print_json(
                {
                    "revision": current.number if current else 0,
                    "instances": [asdict(report) for report in reports],
                    "versions": versions,
                }
            )
            return ExitCode.OK
        self.line(f"revision in the store: {current.number if current else 'none'}")
        for report in reports:
            self.line(_describe_instance(report))
        for row in versions:
            self.line(f"version {row['id']}  {row['state']}  {row['health']}")
        return ExitCode.OK

    def _list_versions(self, current, reports):
        if current is None:
            return []
        catalogue = parse_catalogue(current.document)
        quarantined = {v for r in reports if r.is_current for v in r.quarantined}
        return [
            {
                "id": version.id,
                "state": version.state.value,
                "health": "quarantined" if version.id in quarantined else "good",
            }
            for model in catalogue.models.values()
            for version in model.versions
        ]


def _describe_instance(report):
    notes = [f"revision {report.revision}", f"proof {report.stale_s:.1f} s old"]
    if report.leaving:
        notes.append("leaving")
    if not report.is_current:
        notes.append("no recent report")
    return f"{report.zone}  {report.instance}  " + ", ".join(notes)

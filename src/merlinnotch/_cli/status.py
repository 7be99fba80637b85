"""The ``merlinnotch status`` command."""

import time
from dataclasses import asdict

from .._config import RevisionLog, parse_catalogue
from .._peers import Quarantine
from .._store.keys import QUARANTINE_PREFIX
from .command import JSON_OPTION, SETTINGS_OPTION, OperatorCommand
from .exit_codes import ExitCode
from .reports import read_reports


class StatusCommand(OperatorCommand):
    """The ``status`` command, which shows the state of instances and versions."""

    name = "status"
    description = "Show the revision on each instance and the state of each version."
    options = [SETTINGS_OPTION, JSON_OPTION]

    def run_command(self):
        store, _ = self.open_store()
        current = RevisionLog(store).read_current()
        reports = read_reports(store, time.time())
        versions = self._list_versions(current, reports, _read_quarantines(store))
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
            self.line(_format_instance(report))
        for row in versions:
            self.line(_format_version(row))
        return ExitCode.OK

    def _list_versions(self, current, reports, quarantines):
        if current is None:
            return []
        catalogue = parse_catalogue(current.document)
        reported_ids = {v for r in reports if r.is_current for v in r.quarantined}
        return [
            _describe_version(
                version, version.id in reported_ids, quarantines.get(version.id)
            )
            for model in catalogue.models.values()
            for version in model.versions
        ]


def _format_instance(report):
    notes = [f"revision {report.revision}", f"confirmed {report.stale_s:.1f} s ago"]
    if report.leaving:
        notes.append("shutting down")
    if not report.is_current:
        notes.append("no recent report")
    return f"{report.zone}  {report.instance}  " + ", ".join(notes)


def _read_quarantines(store):
    listing = store.read(QUARANTINE_PREFIX, recurse=True)
    return {
        item.key.removeprefix(QUARANTINE_PREFIX): Quarantine.decode(item.value)
        for item in listing.items
    }


def _describe_version(version, is_reported, quarantine):
    is_in_force = quarantine is not None and quarantine.is_in_force(version)
    row = {
        "id": version.id,
        "state": version.state.value,
        "health": "quarantined" if is_reported or is_in_force else "good",
    }
    if is_in_force:
        row["quarantine_revision"] = quarantine.revision
        row["reason"] = quarantine.reason
    return row


def _format_version(row):
    text = f"version {row['id']}  {row['state']}  {row['health']}"
    if "quarantine_revision" in row:
        number = row["quarantine_revision"]
        text += f" ({row['reason']}; to clear, set cleared_revision = {number})"
    return text

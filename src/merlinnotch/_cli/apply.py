"""The ``merlinnotch apply`` command."""

import time

from cleo.helpers import argument, option

from .._config import RevisionLog, load_catalogue
from .._errors import RevisionConflict
from .command import JSON_OPTION, SETTINGS_OPTION, OperatorCommand
from .exit_codes import ExitCode
from .reports import read_reports

POLL_INTERVAL_S = 0.25


class ApplyCommand(OperatorCommand):
    """The ``apply`` command, which makes a folder of files the next revision.

    It fails with a conflict if another revision was applied since the plan.
    """

    name = "apply"
    description = "Apply a folder of configuration files as the next revision."
    arguments = [argument("folder", "Folder with the *.toml files.")]
    options = [
        SETTINGS_OPTION,
        JSON_OPTION,
        option(
            "against", None, "Revision that the plan was compared with.", flag=False
        ),
        option("wait", "w", "Seconds to wait until it is in force.", flag=False),
    ]

    def run_command(self):
        document, _ = load_catalogue(self.argument("folder"))
        store, settings = self.open_store()
        log = RevisionLog(store)
        current = log.read_current()
        current_number = current.number if current else 0
        base_number = int(self.option("against") or current_number)
        if current and base_number == current_number and current.document == document:
            return self._report_result(store, current, "unchanged")
        self._check_store_is_newest(store, current_number)
        revision = log.apply(document, base_number, settings.author, time.time())
        return self._report_result(store, revision, "applied")

    def _check_store_is_newest(self, store, store_number):
        """Raise :class:`RevisionConflict` if an instance has a newer revision.

        This happens if the store was restored from an older backup.
        """
        reports = read_reports(store, time.time())
        newest_number = max((r.revision for r in reports if r.is_current), default=0)
        if newest_number > store_number:
            raise RevisionConflict(newest_number, "an author unknown to the store")

    def _report_result(self, store, revision, result):
        not_in_force, not_reached = [], []
        wait_s = self.option("wait")
        if wait_s is not None:
            not_in_force, not_reached = self._wait_for_instances(
                store, revision.number, float(wait_s)
            )
        if self.option("json"):
            self.print_json(
                {
                    "revision": revision.number,
                    "apply_id": revision.apply_id,
                    "result": result,
                    "waited": wait_s is not None,
                    "not_in_force": not_in_force,
                    "not_reached": not_reached,
                }
            )
        else:
            self.line(f"{result}: revision {revision.number} ({revision.apply_id})")
            for name in not_in_force:
                self.line(f"not in force on {name}")
            for name in not_reached:
                self.line(f"no recent report from {name}")
        return ExitCode.NOT_IN_FORCE if not_in_force or not_reached else ExitCode.OK

    def _wait_for_instances(self, store, number, wait_s):
        """Wait until all instances report the revision, for at most *wait_s* seconds.

        Return the names of the instances that recently reported an older revision, and
        of those that did so in an old report and may be cut off from the store.
        """
        deadline = time.monotonic() + wait_s
        while True:
            reports = read_reports(store, time.time())
            outdated = [r for r in reports if r.revision < number]
            not_in_force = [r.instance for r in outdated if r.is_current]
            not_reached = [r.instance for r in outdated if not r.is_current]
            if (reports and not outdated) or time.monotonic() >= deadline:
                return not_in_force, not_reached
            time.sleep(POLL_INTERVAL_S)

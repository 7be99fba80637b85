"""``merlinnotch apply``."""

import time

from cleo.helpers import argument, option

from .._config import RevisionLog, load_catalogue
from .._errors import RevisionConflict
from .command import JSON_OPTION, SETTINGS_OPTION, OperatorCommand
from .exits import ExitCode
from .reports import read_reports

POLL_S = 0.25


class ApplyCommand(OperatorCommand):
    """Makes a file set the next revision."""

    name = "apply"
    description = "Apply a folder of files as a whole."
    arguments = [argument("folder", "The folder with *.toml files.")]
    options = [
        SETTINGS_OPTION,
        JSON_OPTION,
        option("against", None, "The revision that was planned against.", flag=False),
        option("wait", "w", "Wait this many seconds until in force.", flag=False),
    ]

    def run_command(self):
        document, _ = load_catalogue(self.argument("folder"))
        store, settings = self.open_store()
        log = RevisionLog(store)
        current = log.read_current()
        number = current.number if current else 0
        against = int(self.option("against") or number)
        if current and against == number and current.document == document:
            return self._report(store, current, "unchanged")
        self._check_not_behind(store, number)
        revision = log.apply(document, against, settings.author, time.time())
        return self._report(store, revision, "applied")

    def _check_not_behind(self, store, number):
        """Refuse to build on a store that was put back to an older state."""
        reports = read_reports(store, time.time())
        newest = max((r.revision for r in reports if r.is_current), default=0)
        if newest > number:
            raise RevisionConflict(newest, "the instances, who are ahead of the store")

    def _report(self, store, revision, what):
        missing, unreached = [], []
        wait_s = self.option("wait")
        if wait_s is not None:
            missing, unreached = self._wait(store, revision.number, float(wait_s))
        if self.option("json"):
            self.print_json(
                {
                    "revision": revision.number,
                    "apply_id": revision.apply_id,
                    "result": what,
                    "waited": wait_s is not None,
                    "not_in_force": missing,
                    "not_reached": unreached,
                }
            )
        else:
            self.line(f"{what}: revision {revision.number} ({revision.apply_id})")
            for name in missing:
                self.line(f"not in force on {name}")
            for name in unreached:
                self.line(f"could not be reached: {name}")
        return ExitCode.NOT_IN_FORCE if missing or unreached else ExitCode.OK

    def _wait(self, store, number, wait_s):
        """Return the instances that lack the revision, and those unheard of."""
        deadline = time.monotonic() + wait_s
        while True:
            reports = read_reports(store, time.time())
            behind = [r for r in reports if r.revision < number]
            missing = [r.instance for r in behind if r.is_current]
            unreached = [r.instance for r in behind if not r.is_current]
            if (reports and not behind) or time.monotonic() >= deadline:
                return missing, unreached
            time.sleep(POLL_S)

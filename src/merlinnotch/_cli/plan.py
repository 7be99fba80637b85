"""The ``merlinnotch plan`` command."""

from dataclasses import asdict

from cleo.helpers import argument

from .._config import RevisionLog, load_catalogue
from .command import JSON_OPTION, SETTINGS_OPTION, OperatorCommand
from .difference import find_differences
from .exit_codes import ExitCode


class PlanCommand(OperatorCommand):
    """The ``plan`` command, which shows the changes that ``apply`` would make."""

    name = "plan"
    description = "Show the changes relative to the revision in force."
    arguments = [argument("folder", "Folder with the *.toml files.")]
    options = [SETTINGS_OPTION, JSON_OPTION]

    def run_command(self):
        document, _ = load_catalogue(self.argument("folder"))
        store, _ = self.open_store()
        current = RevisionLog(store).read_current()
        current_number = current.number if current else 0
        changes = find_differences(current.document if current else {}, document)
        if self.option("json"):
            rows = [asdict(change) for change in changes]
            self.print_json({"against": current_number, "changes": rows})
            return ExitCode.OK
        self.line(f"against revision {current_number}: {len(changes)} changes")
        for change in changes:
            self.line(str(change).replace("<", "\\<"))
        return ExitCode.OK

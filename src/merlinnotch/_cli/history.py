"""The ``merlinnotch history`` command."""

import datetime

from .._config import RevisionLog
from .command import JSON_OPTION, SETTINGS_OPTION, OperatorCommand
from .exit_codes import ExitCode


class HistoryCommand(OperatorCommand):
    """The ``history`` command, which lists the accepted revisions."""

    name = "history"
    description = "List accepted revisions, oldest first."
    options = [SETTINGS_OPTION, JSON_OPTION]

    def run_command(self):
        store, _ = self.open_store()
        revisions = RevisionLog(store).read_history()
        if self.option("json"):
            field_names = ("number", "apply_id", "author", "applied_at")
            self.print_json(
                [{n: getattr(r, n) for n in field_names} for r in revisions]
            )
            return ExitCode.OK
        for revision in revisions:
            applied_at = datetime.datetime.fromtimestamp(
                revision.applied_at, datetime.UTC
            )
            self.line(
                f"{revision.number:6d}  {applied_at:%Y-%m-%d %H:%M:%S}  "
                f"{revision.author}  {revision.apply_id}"
            )
        return ExitCode.OK

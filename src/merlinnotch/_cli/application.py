"""The ``merlinnotch`` application and its commands."""

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from .apply import ApplyCommand
from .bills import BillsCommand
from .check import CheckCommand
from .check_platform import CheckPlatformCommand
from .exit_codes import ExitCode
from .explain import ExplainCommand
from .history import HistoryCommand
from .plan import PlanCommand
from .status import StatusCommand

VERSION = "0.1.0"


class ServeCommand(Command):
    """The ``serve`` command, which runs an entry instance."""

    name = "serve"
    description = "Run an entry instance."
    options = [option("settings", "s", "Path of the settings file.", flag=False)]

    def handle(self):
        if not self.option("settings"):
            self.line_error("--settings is required")
            return int(ExitCode.USAGE)
        # Imported here because the other commands don't need the daemon.
        from .serve import serve

        return int(serve(self.option("settings"), self.line_error))


def build_application():
    """Return the cleo application with all commands added."""
    application = Application("merlinnotch", VERSION)
    for command in (
        ServeCommand,
        CheckCommand,
        CheckPlatformCommand,
        PlanCommand,
        ApplyCommand,
        StatusCommand,
        HistoryCommand,
        BillsCommand,
        ExplainCommand,
    ):
        application.add(command())
    return application

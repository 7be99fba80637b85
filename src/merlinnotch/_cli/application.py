"""The ``merlinnotch`` command line."""

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from .apply import ApplyCommand
from .bills import BillsCommand
from .check import CheckCommand
from .exits import ExitCode
from .explain import ExplainCommand
from .history import HistoryCommand
from .plan import PlanCommand
from .status import StatusCommand

VERSION = "0.1.0"


class ServeCommand(Command):
    """Runs an entry instance."""

    name = "serve"
    description = "Run an entry instance."
    options = [option("settings", "s", "The settings file.", flag=False)]

    def handle(self):
        if not self.option("settings"):
            self.line_error("--settings is needed")
            return int(ExitCode.USAGE)
        # The operators' commands need none of the daemon.
        from .serve import serve

        return int(serve(self.option("settings"), self.line_error))


def build_application():
    """Return the command line with all its commands."""
    application = Application("merlinnotch", VERSION)
    for command in (
        ServeCommand,
        CheckCommand,
        PlanCommand,
        ApplyCommand,
        StatusCommand,
        HistoryCommand,
        BillsCommand,
        ExplainCommand,
    ):
        application.add(command())
    return application

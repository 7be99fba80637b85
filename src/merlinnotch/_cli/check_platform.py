"""The ``merlinnotch check-platform`` command."""

import json
import re

from cleo.commands.command import Command
from cleo.exceptions import CleoError
from cleo.helpers import argument, option
from cleo.io.outputs.output import Type

from .command import JSON_OPTION

ADDRESS_PATTERN = re.compile(r"[0-9.]+:[0-9]{1,5}")
USAGE_EXIT_CODE = 2
"""Also the code for errors, so that a check that was not made never passes."""


class CheckPlatformCommand(Command):
    """The ``check-platform`` command, which checks a configuration document."""

    name = "check-platform"
    description = "Check a configuration document of the platform before it is sent."
    help = """
Exit codes: 0 valid, 1 warnings, 2 errors or wrong usage. Differences from the version
in force do not change the exit code.
"""
    arguments = [argument("file", "Path of the JSON document.")]
    options = [
        option(
            "settings",
            "s",
            "Settings file of an instance, to compare with its bounds.",
            flag=False,
        ),
        option(
            "in-force", None, "File with the version in force, to compare.", flag=False
        ),
        option(
            "store",
            None,
            "Address of the store, to read the version in force from.",
            flag=False,
        ),
        JSON_OPTION,
    ]

    def run(self, io):
        try:
            return super().run(io)
        except CleoError as error:
            # The exit code of cleo for wrong usage is 1, here that of warnings.
            io.write_error_line(str(error), type=Type.RAW)
            return USAGE_EXIT_CODE

    def handle(self):
        problem = self._find_usage_problem()
        if problem:
            self.line_error(problem.replace("<", "\\<"))
            return USAGE_EXIT_CODE
        # Imported here because other commands don't need the client of the store.
        from .platform_check import check_files

        report = check_files(
            self.argument("file"),
            in_force_path=self.option("in-force"),
            store_address=self.option("store"),
            settings_path=self.option("settings"),
        )
        if self.option("json"):
            lines = [json.dumps(report.build_json(), indent=2)]
        else:
            lines = report.list_lines()
        # Not as markup, which names in the document could contain.
        self.io.write_line(lines, type=Type.RAW)
        return int(report.exit_code)

    def _find_usage_problem(self):
        address = self.option("store")
        if address and self.option("in-force"):
            return "--store and --in-force exclude each other"
        if address and not ADDRESS_PATTERN.fullmatch(address):
            return f"--store: {address!r} is not an IPv4 address with a port"
        return None

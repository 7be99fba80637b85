"""Base class and options of the operators' commands."""

import json

from cleo.commands.command import Command
from cleo.helpers import option

from .._errors import (
    ConfigurationInvalid,
    InvalidSettings,
    RevisionConflict,
    StoreUnavailable,
)
from .._settings import load_operator_settings
from .._store import HttpStore
from .exit_codes import ExitCode

SETTINGS_OPTION = option(
    "settings",
    "s",
    "Path of the operator's settings file.",
    flag=False,
    default="operator.toml",
)
JSON_OPTION = option("json", None, "Print JSON instead of text.", flag=True)
EXIT_CODES_HELP = """
Exit codes: 0 success, 1 failure, 2 wrong usage, 3 unreadable or invalid file,
4 conflict with another revision, 5 store unreachable, 6 revision not in force on all
instances.
"""


class OperatorCommand(Command):
    """Base class of operators' commands; reports errors by message and exit code."""

    help = EXIT_CODES_HELP

    def handle(self):
        try:
            return int(self.run_command())
        except (InvalidSettings, ConfigurationInvalid) as error:
            for problem in error.problems:
                self._print_error(str(problem))
            return int(ExitCode.BAD_FILE)
        except RevisionConflict as error:
            self._print_error(f"conflict: {error}; run plan again")
            return int(ExitCode.CONFLICT)
        except StoreUnavailable as error:
            self._print_error(f"store unreachable: {error}")
            return int(ExitCode.STORE_UNREACHABLE)

    def run_command(self):
        """Run the command and return an :class:`ExitCode`."""
        raise NotImplementedError

    def open_store(self):
        """Return the store and the operator's settings.

        Raises :class:`InvalidSettings`.
        """
        settings = load_operator_settings(self.option("settings"))
        store = HttpStore(settings.store_addresses, settings.store_timeout_s)
        return store, settings

    def print_json(self, value):
        """Print *value* as JSON on standard output."""
        self.line(json.dumps(value, indent=2))

    def _print_error(self, text):
        self.line_error(text.replace("<", "\\<"))

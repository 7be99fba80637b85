"""What the operators' commands have in common."""

import json

from cleo.commands.command import Command
from cleo.helpers import option

from .._errors import (
    BadSettings,
    ConfigurationInvalid,
    RevisionConflict,
    StoreUnavailable,
)
from .._settings import load_operator_settings
from .._store import HttpStore
from .exits import ExitCode

SETTINGS_OPTION = option(
    "settings",
    "s",
    "The operator's settings file.",
    flag=False,
    default="operator.toml",
)
JSON_OPTION = option("json", None, "Print JSON, for programs.", flag=True)
EXIT_HELP = """
Exit codes: 0 done, 1 failed, 2 wrong usage, 3 bad file, 4 conflict with another
revision, 5 store unreachable, 6 not in force everywhere.
"""


class OperatorCommand(Command):
    """Turns errors into messages and exit codes. Talks only to the store."""

    help = EXIT_HELP

    def handle(self):
        try:
            return int(self.run_command())
        except (BadSettings, ConfigurationInvalid) as error:
            for fault in error.faults:
                self._complain(str(fault))
            return int(ExitCode.BAD_FILE)
        except RevisionConflict as error:
            self._complain(f"conflict: {error}; plan again against it")
            return int(ExitCode.CONFLICT)
        except StoreUnavailable as error:
            self._complain(f"the store can't be reached: {error}")
            return int(ExitCode.STORE_UNREACHABLE)

    def run_command(self):
        """Do the command's work and return an :class:`ExitCode`."""
        raise NotImplementedError

    def open_store(self):
        """Return the store and the settings of the operator."""
        settings = load_operator_settings(self.option("settings"))
        store = HttpStore(settings.store_addresses, settings.store_timeout_s)
        return store, settings

    def print_json(self, value):
        """Print *value* as JSON on standard output."""
        self.line(json.dumps(value, indent=2))

    def _complain(self, text):
        self.line_error(text.replace("<", "\\<"))

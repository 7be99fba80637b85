"""The ``merlinnotch check`` command."""

from cleo.helpers import argument

from .._config import load_catalogue
from .command import OperatorCommand
from .exit_codes import ExitCode


class CheckCommand(OperatorCommand):
    """The ``check`` command, which validates a folder of files without the store."""

    name = "check"
    description = "Validate a folder of configuration files without the store."
    arguments = [argument("folder", "Folder with the *.toml files.")]

    def run_command(self):
        _, catalogue = load_catalogue(self.argument("folder"))
        self.line(
            f"valid: {len(catalogue.teams)} teams, {len(catalogue.models)} models, "
            f"{len(catalogue.kinds)} kinds, {len(catalogue.services)} services"
        )
        return ExitCode.OK

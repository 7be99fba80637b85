"""``merlinnotch check``."""

from cleo.helpers import argument

from .._config import load_catalogue
from .command import OperatorCommand
from .exits import ExitCode


class CheckCommand(OperatorCommand):
    """Checks a file set offline."""

    name = "check"
    description = "Check a folder of configuration files, offline."
    arguments = [argument("folder", "The folder with *.toml files.")]

    def run_command(self):
        _, catalogue = load_catalogue(self.argument("folder"))
        self.line(
            f"good: {len(catalogue.teams)} teams, {len(catalogue.models)} models, "
            f"{len(catalogue.kinds)} kinds, {len(catalogue.services)} services"
        )
        return ExitCode.OK

"""The ``merlinnotch explain`` command."""

import sys

from cleo.commands.command import Command
from cleo.helpers import argument

from .._explain import explain_request, parse_lines
from .exit_codes import ExitCode


class ExplainCommand(Command):
    """The ``explain`` command, which prints the timeline of one request from logs."""

    name = "explain"
    description = "Show the timeline of a request from log files."
    arguments = [
        argument("request", "Id of the request."),
        argument("files", "Log files; standard input if none.", True, True),
    ]

    def handle(self):
        try:
            lines = parse_lines(self._read_lines())
        except OSError as error:
            self.line_error(f"{error.filename}: {error.strerror}")
            return int(ExitCode.BAD_FILE)
        timeline = explain_request(lines, self.argument("request"))
        if not timeline:
            self.line_error("no log line names this request")
            return int(ExitCode.FAILED)
        for line in timeline:
            self.line(line)
        return int(ExitCode.OK)

    def _read_lines(self):
        lines = []
        for name in self.argument("files"):
            with open(name, encoding="utf-8", errors="replace") as file:
                lines.extend(file)
        return lines or list(sys.stdin)

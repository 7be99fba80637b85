"""``merlinnotch explain``."""

import sys

from cleo.commands.command import Command
from cleo.helpers import argument

from .._explain import parse_lines, tell_story
from .exits import ExitCode


class ExplainCommand(Command):
    """Tells what happened to one request, from the logs of all processes."""

    name = "explain"
    description = "Tell what happened to a request, from logs."
    arguments = [
        argument("request", "The request's id."),
        argument("files", "Log files; standard input without any.", True, True),
    ]

    def handle(self):
        try:
            lines = parse_lines(self._read())
        except OSError as error:
            self.line_error(f"{error.filename}: {error.strerror}")
            return int(ExitCode.BAD_FILE)
        story = tell_story(lines, self.argument("request"))
        if not story:
            self.line_error("no line names this request")
            return int(ExitCode.FAILED)
        for line in story:
            self.line(line)
        return int(ExitCode.OK)

    def _read(self):
        lines = []
        for name in self.argument("files"):
            with open(name, encoding="utf-8", errors="replace") as file:
                lines.extend(file)
        return lines or list(sys.stdin)

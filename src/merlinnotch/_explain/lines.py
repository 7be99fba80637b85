"""Log lines of any process, read back."""

import json
from dataclasses import dataclass

PLAIN = ("created", "message", "instance", "zone", "levelname")


@dataclass(frozen=True)
class LogLine:
    """One line: when it was written, by whom, and what it says."""

    time: float
    instance: str
    message: str
    fields: dict

    @property
    def request(self):
        """The id of the request that the line is about, or None."""
        return self.fields.get("request")


def parse_lines(lines):
    """Return the :class:`LogLine` of each line that holds one.

    What stands before the JSON object, such as a collector's own time stamp, is
    passed over; lines that hold none are left out.
    """
    parsed = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            table = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(table, dict) and "message" in table and "created" in table:
            parsed.append(_build_line(table))
    return parsed


def _build_line(table):
    fields = {name: value for name, value in table.items() if name not in PLAIN}
    return LogLine(
        float(table["created"]), table.get("instance", "?"), table["message"], fields
    )

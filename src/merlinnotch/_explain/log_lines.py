"""Parsing of JSON log lines."""

import json
from dataclasses import dataclass

STANDARD_FIELDS = ("created", "message", "instance", "zone", "levelname")


@dataclass(frozen=True)
class LogLine:
    """A parsed log line.

    *time* is in seconds since the epoch, *instance* is the one that wrote the line, and
    *fields* are the other values of the record.
    """

    time: float
    instance: str
    message: str
    fields: dict

    @property
    def request(self):
        """Id of the request that the line is about, or None."""
        return self.fields.get("request")


def parse_lines(lines):
    """Return a :class:`LogLine` for each line that contains a JSON log record.

    Text before the JSON object, such as the prefix of a log collector, is ignored.
    Lines without a valid record are skipped.
    """
    parsed = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(record, dict) and "message" in record and "created" in record:
            parsed.append(_build_line(record))
    return parsed


def _build_line(record):
    fields = {
        name: value for name, value in record.items() if name not in STANDARD_FIELDS
    }
    return LogLine(
        float(record["created"]), record.get("instance", "?"), record["message"], fields
    )

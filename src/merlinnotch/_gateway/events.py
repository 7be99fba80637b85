"""Splitting of event streams at event boundaries."""

import re
from dataclasses import dataclass

from .._errors import ConnectionBroken

MAX_EVENT_BYTES = 1 << 20
EVENT_END = re.compile(rb"\n\n|\r\n\r\n|\r\r")
MAX_END_BYTES = 4
"""Length of the longest EVENT_END."""


@dataclass(frozen=True)
class Event:
    """One event, including the blank line that ends it.

    *id* is None if the event has no numeric id.
    """

    data: bytes
    id: int | None


class EventSplitter:
    """Splits a body into complete events and buffers an incomplete one."""

    def __init__(self):
        self._buffer = bytearray()
        self._searched = 0

    def feed(self, data):
        """Return the events completed by *data*.

        Raises :class:`ConnectionBroken` if the incomplete event is larger than
        ``MAX_EVENT_BYTES``.
        """
        self._buffer += data
        events = []
        begin = 0
        while match := EVENT_END.search(self._buffer, max(begin, self._searched)):
            events.append(_parse_event(bytes(self._buffer[begin : match.end()])))
            begin = match.end()
        del self._buffer[:begin]
        self._searched = max(0, len(self._buffer) - MAX_END_BYTES + 1)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ConnectionBroken("event exceeds the size limit")
        return events

    @property
    def size(self):
        """The number of bytes after the last complete event."""
        return len(self._buffer)

    @property
    def remainder(self):
        """The bytes after the last complete event."""
        return bytes(self._buffer)

    def finish(self):
        """Return the line ends after the last event, at the end of the stream.

        Raises :class:`ConnectionBroken` if the stream ended inside an event. Without a
        length, the end of a connection looks the same for a complete stream.
        """
        if self._buffer.strip(b"\r\n"):
            raise ConnectionBroken(
                f"stream ended {len(self._buffer)} bytes into an event"
            )
        return self.remainder


def _parse_event(data):
    event_id = None
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            event_id = int(value)
    return Event(data, event_id)

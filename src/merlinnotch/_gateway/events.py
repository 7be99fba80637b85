"""Series of events, cut at event boundaries."""

from dataclasses import dataclass

from .._errors import ConnectionBroken

MAX_EVENT_BYTES = 1 << 20


@dataclass(frozen=True)
class Event:
    """One event with the blank line that ends it; *id* is None where it has none."""

    data: bytes
    id: int | None


class EventSplitter:
    """Cuts a body into whole events; an unfinished one is held back."""

    def __init__(self):
        self._buffer = b""

    def feed(self, data):
        """Return the events that *data* completes."""
        self._buffer += data
        events = []
        while True:
            end = _find_end(self._buffer)
            if end < 0:
                break
            events.append(_parse(self._buffer[:end]))
            self._buffer = self._buffer[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ConnectionBroken("an event is too long")
        return events

    @property
    def rest(self):
        """Bytes after the last whole event."""
        return self._buffer


def _find_end(buffer):
    ends = [
        at + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (at := buffer.find(mark)) >= 0
    ]
    return min(ends, default=-1)


def _parse(data):
    event_id = None
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            event_id = int(value)
    return Event(data, event_id)

"""Relaying of event streams."""

from .._errors import ConnectionBroken, ResponseTooLong
from .._http import Framing
from .events import EventSplitter
from .reachability import compute_check_interval_s
from .read_limits import LimitKind, ReadLimit

MIN_STALL_S = 2.0
STALL_FACTOR = 2.5
"""Multiple of the pause goal after which a stream without data is aborted. It tolerates
the pauses of engines under load."""

MIN_EVENTS_LIMIT = 16
"""Allows for events without tokens, as at the end of a stream."""
EVENTS_PER_TOKEN = 2
"""An event holds at least one token; the count that the caller expects may be exceeded
somewhat."""
READ_BYTES = 8 << 10
"""What is read at a time. A caller that doesn't read holds it several times: as it
came, as events and as chunks."""
STALLED_BYTES = 128 << 10
"""What a stream holds while its caller doesn't read: what is read, with its copies,
and the kernel's buffers of both connections."""
MAX_STREAM_BYTES = 16 << 20
"""Limit for streams whose callers expect no count of tokens."""


class StreamRelay:
    """Relays complete events, each once and in order.

    If a stream breaks off, the next attempt's stream continues after the last event
    delivered; the caller gets the response head of the first attempt only. Nothing is
    written before the first event, so that the response can be replaced until then.

    *record_gap* is called with the call, the attempt and the seconds between events.
    *reader* is a :class:`ResponseReader`, *memory* the :class:`MemoryBudget` for
    incomplete events.
    """

    def __init__(
        self,
        call,
        connection,
        select_forwarded_fields,
        read_clock,
        record_gap,
        reader,
        memory,
    ):
        self._call = call
        self._connection = connection
        self._select_forwarded_fields = select_forwarded_fields
        self._read_clock = read_clock
        self._record_gap = record_gap
        self._reader = reader
        self._memory = memory
        self._check_interval_s = compute_check_interval_s(call.route.pause_goal_s)
        self._last_write_at = None
        self._byte_count = 0
        self._stall_timeout_s = max(MIN_STALL_S, STALL_FACTOR * call.route.pause_goal_s)

    def run(self, attempt):
        """Relay the response of *attempt* to its end.

        Raises :class:`ConnectionBroken` if it breaks off, stalls or ends inside an
        event, its subclass :class:`ResponseTooLong` if it seems to have no end, and
        :class:`CallerDisconnected` if the caller disconnects. The connection to the
        upstream is closed in all cases.
        """
        self._last_write_at = None
        attempt.connection.limit_reads(READ_BYTES)
        with self._memory.hold(attempt.connection.make_room) as holding:
            self._relay(attempt, holding)

    def _relay(self, attempt, holding):
        splitter = EventSplitter()
        try:
            while part := self._read_part(attempt):
                self._write_events(attempt, splitter.feed(part))
                holding.resize(splitter.size)
            self._call.unfinished_bytes = len(splitter.remainder)
            self._check_begun(attempt)
            self._write_end(attempt, splitter.finish())
        except BaseException:
            attempt.connection.close()
            raise

    def _read_part(self, attempt):
        stalled_at = self._read_clock() + self._stall_timeout_s
        return self._reader.read(
            self._call,
            attempt.upstream,
            attempt.connection.read_part,
            self._check_interval_s,
            ReadLimit(stalled_at, LimitKind.STALL),
        )

    def _write_events(self, attempt, events):
        if not events:
            return
        last_id = self._call.last_event_id
        for event in events:
            last_id = _check_order(event, last_id)
        self._check_length(events)
        data = self._encode_head(attempt)
        data += self._connection.encode_data(b"".join(e.data for e in events))
        self._connection.write(data, STALLED_BYTES)
        self._call.last_event_id = last_id
        self._call.events_sent += len(events)
        now = self._read_clock()
        self._record_timing(attempt, len(events), now)

    def _check_length(self, events):
        """Raise :class:`ResponseTooLong` if the stream goes on beyond all bounds.

        None of its further events is delivered.
        """
        self._byte_count += sum(len(event.data) for event in events)
        event_count = self._call.events_sent + len(events)
        tokens = self._call.headers.tokens_out
        limit = MIN_EVENTS_LIMIT + EVENTS_PER_TOKEN * tokens
        if self._byte_count > MAX_STREAM_BYTES or (tokens and event_count > limit):
            raise ResponseTooLong(f"stream goes on after {event_count} events")

    def _record_timing(self, attempt, event_count, now):
        call = self._call
        if call.first_event_at is None:
            call.first_event_at = now
        else:
            pause_s = now - call.last_event_at
            if pause_s > call.longest_pause_s:
                call.longest_pause_s = pause_s
                call.longest_pause_ended_at = now
        call.last_event_at = now
        attempt.first_relayed_at = attempt.first_relayed_at or now
        attempt.last_relayed_at = now
        attempt.event_count += event_count
        if self._last_write_at is not None:
            self._record_gap(call, attempt, (now - self._last_write_at) / event_count)
        self._last_write_at = now

    def _check_begun(self, attempt):
        """Raise :class:`ConnectionBroken` if an unframed stream ended without events.

        One that was resumed may have none left.
        """
        call = self._call
        is_resumed = call.events_sent > 0 or call.last_event_id is not None
        if attempt.head.framing is Framing.CLOSE and not is_resumed:
            raise ConnectionBroken("stream ended before its first event")

    def _write_end(self, attempt, line_ends):
        data = self._encode_head(attempt)
        if line_ends:
            data += self._connection.encode_data(line_ends)
        self._connection.write(data + self._connection.encode_end(), STALLED_BYTES)

    def _encode_head(self, attempt):
        if self._connection.response_started:
            return b""
        head = attempt.head
        return self._connection.encode_head(
            head.status, self._select_forwarded_fields(head)
        )


def _check_order(event, last_id):
    """Return the id of the latest event, given the previous one in *last_id*.

    Raises :class:`ConnectionBroken` if an event is missing or repeated.
    """
    if event.id is None:
        return last_id
    if last_id is not None and event.id != last_id + 1:
        raise ConnectionBroken(
            f"event {event.id} is out of order after event {last_id}"
        )
    return event.id

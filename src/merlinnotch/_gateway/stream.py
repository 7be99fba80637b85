"""Passing a stream on event by event."""

from .._errors import ConnectionBroken
from .events import EventSplitter
from .paths import choose_check_s

MIN_STALL_S = 2.0
STALL_FACTOR = 2.5
"""A stream that pauses longer than this many times its pause goal has stalled:
engines under load pause up to twice the goal, callers wait for eight times."""


class StreamRelay:
    """Writes whole events only, each once and in order.

    When a stream breaks off, the next one goes on after the last event that
    was delivered; the caller sees the head of the first one. Nothing is written
    before the first event, so that until then another answer can take its place.
    *note_gap* is called with the call, the attempt and the seconds between events.
    *paths* is a :class:`PathChecker`.
    """

    def __init__(self, call, connection, pass_on, read_clock, note_gap, paths):
        self._call = call
        self._connection = connection
        self._pass_on = pass_on
        self._read_clock = read_clock
        self._note_gap = note_gap
        self._paths = paths
        self._check_s = choose_check_s(call.route.pause_goal_s)
        self._wrote_at = None
        self._stall_s = max(MIN_STALL_S, STALL_FACTOR * call.route.pause_goal_s)

    def run(self, attempt):
        """Relay one attempt to its complete end.

        Raises :class:`ConnectionBroken` when it breaks off or stalls, and
        :class:`CallerLeft`; the upstream's connection is then closed.
        """
        splitter = EventSplitter()
        self._wrote_at = None
        try:
            while part := self._read_part(attempt):
                self._write(attempt, splitter.feed(part))
            self._write_end(attempt, splitter.rest)
        except BaseException:
            attempt.connection.close()
            raise

    def _read_part(self, attempt):
        now = self._read_clock()
        until = min(self._call.deadline, now + self._stall_s)
        if not self._call.may_run_again:
            return attempt.connection.read_part(until)
        return self._paths.read(
            attempt.upstream, attempt.connection.read_part, self._check_s, until
        )

    def _write(self, attempt, events):
        if not events:
            return
        last = self._call.last_event
        for event in events:
            last = _check_order(event, last)
        data = self._encode_head(attempt)
        data += self._connection.encode_data(b"".join(e.data for e in events))
        self._connection.write(data)
        self._call.last_event = last
        self._call.events_sent += len(events)
        now = self._read_clock()
        self._note_times(attempt, len(events), now)

    def _note_times(self, attempt, count, now):
        call = self._call
        if call.first_event_at is None:
            call.first_event_at = now
        else:
            pause_s = now - call.last_event_at
            if pause_s > call.longest_pause_s:
                call.longest_pause_s = pause_s
                call.longest_pause_at = now
        call.last_event_at = now
        attempt.first_at = attempt.first_at or now
        attempt.last_at = now
        attempt.events += count
        if self._wrote_at is not None:
            self._note_gap(call, attempt, (now - self._wrote_at) / count)
        self._wrote_at = now

    def _write_end(self, attempt, rest):
        data = self._encode_head(attempt)
        if rest:
            data += self._connection.encode_data(rest)
        self._connection.write(data + self._connection.encode_end())

    def _encode_head(self, attempt):
        if self._connection.started:
            return b""
        head = attempt.head
        return self._connection.start_answer(head.status, self._pass_on(head))


def _check_order(event, last):
    """Return the id of the newest event; raises when one is missing or repeated."""
    if event.id is None:
        return last
    if last is not None and event.id != last + 1:
        raise ConnectionBroken(f"event {event.id} follows {last}")
    return event.id

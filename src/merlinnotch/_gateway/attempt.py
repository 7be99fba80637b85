"""One send of a call to one upstream."""

from dataclasses import dataclass

from .._errors import ConnectionBroken, TransportError
from .._fleet import Upstream
from .._placement import choose_urgency
from ..platform import encode_call, is_not_run, read_answer
from .paths import choose_check_s

CONNECT_S = 0.25
"""A path that works connects in a few milliseconds; nothing is lost by trying
another upstream instead."""

SUCCESSES = range(200, 300)


class NotRun(TransportError):
    """The upstream says that it did not run the request."""


@dataclass
class Attempt:
    """An exchange whose answer's head has come.

    *note* is what the answer's fields say; *waited_s* is how long the head took.
    *events* were passed on from it between *first_at* and *last_at*. *is_judged*
    says that it has been counted for its version.
    """

    upstream: Upstream
    connection: object
    head: object
    note: object
    started_at: float
    waited_s: float
    events: int = 0
    first_at: float = 0.0
    last_at: float = 0.0
    is_judged: bool = False


class AttemptMaker:
    """Sends a call to an upstream and reads the head of the answer.

    *news* tells the other instances of prompts that are sent and of what engines
    say of their load. *paths* is a :class:`PathChecker`.
    """

    def __init__(self, pool, loads, paces, read_clock, news, paths):
        self._pool = pool
        self._loads = loads
        self._paces = paces
        self._read_clock = read_clock
        self._news = news
        self._paths = paths

    def make(self, call, upstream, work, estimate, until):
        """Return an :class:`Attempt`; *estimate* is what was expected of it.

        Raises :class:`ConnectFailed` or :class:`NotRun` where nothing has run
        and :class:`ConnectionBroken` where it may have.
        """
        load = self._loads.get(upstream)
        connection = self._pool.take(upstream.start, upstream.address, CONNECT_S)
        started_at = self._read_clock()
        call.sends += 1
        call.sent_to.add(upstream.start)
        if work.model:
            load.cache.note(work.model, work.prompt)
            load.backlog.note(estimate.reading_ms, started_at)
            self._news.tell_work(upstream, estimate.reading_ms)
        call.may_have_run = True
        try:
            urgency = None
            if work.model:
                urgency = choose_urgency(estimate.reading_ms, upstream.slots)
            head = self._exchange(call, upstream, connection, until, urgency)
        except BaseException:
            connection.close()
            raise
        attempt = self._judge_head(call, upstream, connection, head, started_at)
        if work.model and estimate.missing_tokens:
            self._paces.note(work.model, estimate.missing_tokens, attempt.waited_s)
        return attempt

    def _exchange(self, call, upstream, connection, until, urgency):
        now = self._read_clock()
        pairs = encode_call(
            call.pairs,
            upstream.id,
            call.team.name if call.team else None,
            call.deadline - now,
            call.model if call.route.models else None,
            call.last_event,
            urgency,
        )
        request = call.request
        connection.send_request(
            request.method, request.target, pairs, request.body, until
        )
        if not call.may_run_again or until >= call.deadline:
            return connection.read_head(until)
        check_s = choose_check_s(call.route.goal_s)
        return self._paths.read(upstream, connection.read_head, check_s, until)

    def _judge_head(self, call, upstream, connection, head, started_at):
        now = self._read_clock()
        load = self._loads.get(upstream)
        note = read_answer(head.fields)
        if note.running is not None:
            load.note_report(note.running, note.waiting, now)
            if call.model:
                self._news.tell_report(upstream, note.running, note.waiting)
        if is_not_run(head.status, head.fields):
            self._give_back_short(upstream, connection, now)
            raise NotRun(f"status {head.status}")
        if note.attempt_id != call.headers.attempt_id:
            connection.close()
            raise ConnectionBroken("the answer belongs to another request")
        if head.status in SUCCESSES and not note.sealed:
            connection.close()
            raise ConnectionBroken("a success without the upstream's seal")
        return Attempt(upstream, connection, head, note, started_at, now - started_at)

    def _give_back_short(self, upstream, connection, now):
        """Read a refusal's body so that the connection can be used again."""
        try:
            connection.read_body(now + CONNECT_S, 65536)
        except ConnectionBroken:
            connection.close()
        else:
            self._pool.give_back(upstream.start, connection)

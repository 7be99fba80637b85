"""Relaying of calls through peers that reach their upstreams."""

import logging

from .._errors import (
    ConnectFailed,
    ConnectionBroken,
    ConnectionTimedOut,
    MalformedMessage,
    MemoryExhausted,
    Outcome,
    RequestRefused,
    TransportError,
)
from .._http import join_parts
from .._relay import (
    REFUSAL_FIELD,
    RELAY_FIELD,
    RelayMark,
    decode_refusal,
    encode_mark,
)
from ..platform import get_attempt_id
from .attempt import MAX_BUFFERED_BYTES, Attempt
from .refusals import is_false_promise
from .stream import StreamRelay

logger = logging.getLogger("merlinnotch")

CONNECT_TIMEOUT_S = 0.25
CHECK_INTERVAL_S = 0.5
"""Silence of a peer after which it is checked whether it still answers."""
MAX_RELAY_PEERS = 3
"""Peers that a call is sent to before it is refused."""
OK = 200


class Relayer:
    """Sends calls to peers, which forward them like the requests of their own callers.

    The peer retries and evaluates; here nothing is held against an upstream. A relayed
    call is not relayed again. *exchange* is a :class:`RelayExchange`, *memory* the
    :class:`MemoryBudget` for responses.
    """

    def __init__(self, name, exchange, pool, metrics, memory, read_clock):
        self._memory = memory
        self._name = name
        self._exchange = exchange
        self._pool = pool
        self._metrics = metrics
        self._read_clock = read_clock

    def find_peer(self, call):
        """Return the :class:`RelayPeer` for the next attempt at *call*, or None."""
        if call.relayed_from is not None or len(call.tried_peers) >= MAX_RELAY_PEERS:
            return None
        peer = self._exchange.find_peer(call.service, call.tried_peers)
        if peer is None:
            self._count("no peer")
        return peer

    def send(self, call, connection, peer):
        """Relay *call* through *peer*; return whether its response was delivered.

        If not, it has not run there. Raises :class:`RequestRefused` if the peer refuses
        it for all, and :class:`ConnectionBroken` or :class:`MalformedMessage` if it
        broke off.
        """
        call.tried_peers.add(peer.name)
        try:
            link = self._connect(call, peer)
        except ConnectFailed as error:
            self._exchange.record_failure(peer.name)
            self._log_failure(call, peer, "unreachable", error)
            # Nothing was sent, so a retry is still to be made.
            call.retry_reserved = call.send_count > 0
            return False
        may_have_run_before = call.may_have_run
        call.may_have_run = True
        call.send_count += 1
        call.earlier_send_count += 1
        call.relayed_by = peer.name
        call.relay_age_s = self._read_clock() - peer.answered_at
        try:
            self._exchange_with(call, connection, peer, link)
        except (ConnectionBroken, MalformedMessage) as error:
            if not isinstance(error, MemoryExhausted):
                self._exchange.record_failure(peer.name)
            self._log_failure(call, peer, "broken", error)
            link.close()
            raise
        except _PeerRefused as error:
            self._pool.release(_get_pool_key(peer), link)
            self._handle_refusal(call, peer, error.refusal, may_have_run_before)
            return False
        except BaseException:
            link.close()
            raise
        self._pool.release(_get_pool_key(peer), link)
        self._count("answered")
        return True

    def _connect(self, call, peer):
        # An idle connection may be closed just as a request is sent.
        force_new = not call.is_retryable
        return self._pool.acquire(
            _get_pool_key(peer), peer.address, CONNECT_TIMEOUT_S, force_new
        )

    def _exchange_with(self, call, connection, peer, link):
        """Send *call* over *link* and deliver the response."""
        started_at = self._read_clock()
        mark = RelayMark(
            origin=self._name,
            configuration_version=call.configuration.version,
            team=call.team.name if call.team else None,
            service=call.service,
            remaining_s=call.deadline - started_at,
            model=call.model,
            last_event_id=call.last_event_id,
            send_count=call.earlier_send_count - 1 + len(call.sent_starts),
        )
        pairs = [*call.header_pairs, (RELAY_FIELD, encode_mark(mark))]
        request = call.request
        link.send_request(
            request.method, request.target, pairs, request.body, call.deadline
        )
        reader = _PeerReader(self._exchange, self._read_clock)
        head = reader.read(call, peer, link.read_head)
        call.framing = head.framing
        refusal = _decode_refusal(head)
        _check_answers(call, link, head, refusal)
        if refusal is not None:
            reader.read_body(call, peer, link)
            raise _PeerRefused(refusal)
        if is_false_promise(call, head.status):
            # Callers would take it for a refusal. Peers of earlier releases forward it.
            raise ConnectionBroken(f"status {head.status} without a refusal")
        if call.route.retry_policy.is_streaming and head.status == OK:
            attempt = Attempt(peer, link, head, None, started_at, 0.0)
            self._make_stream_relay(call, connection, reader).run(attempt)
            return
        with self._memory.hold(link.make_room) as holding:
            body = reader.read_body(call, peer, link, holding.resize)
            holding.settle(connection.end_response, connection.write_pace)
            if connection.response_started:
                raise ConnectionBroken(f"status {head.status} within a stream")
            connection.send_response(head.status, _select_fields(head), body)

    def _make_stream_relay(self, call, connection, reader):
        return StreamRelay(
            call,
            connection,
            _select_fields,
            self._read_clock,
            lambda call, attempt, gap_s: None,
            reader,
            self._memory,
        )

    def _handle_refusal(self, call, peer, refusal, may_have_run_before):
        """Undo the send if nothing has run; raise if no other peer can help."""
        is_not_run = refusal.outcome is Outcome.NOT_RUN
        if is_not_run:
            call.may_have_run = may_have_run_before
            call.earlier_send_count -= 1
            if refusal.send_count == 0:
                call.send_count -= 1
                # The retry of an attempt that was not made is still to be used.
                call.retry_reserved = call.send_count > 0
        self._log_failure(call, peer, "refused", refusal.detail or refusal.kind)
        if is_not_run and refusal.is_elsewhere_possible:
            # It has just lost its upstreams itself, or can't follow the origin.
            self._exchange.record_failure(peer.name)
            return
        detail = ", ".join([*call.reasons, f"{peer.name}: {refusal.detail}"])
        outcome = Outcome.UNKNOWN if call.may_have_run else Outcome.NOT_RUN
        raise RequestRefused(refusal.kind, detail, outcome, refusal.retry_after_s)

    def _log_failure(self, call, peer, reason, detail):
        self._count(reason)
        call.reasons.append(f"relay {reason}")
        fields = {
            "request": call.headers.attempt_id,
            "peer": peer.name,
            "service": call.service,
            "reason": reason,
            "detail": str(detail),
        }
        logger.info("relaying failed", extra=fields)

    def _count(self, result):
        self._metrics.relays.labels("sent", result).inc()


class _PeerRefused(TransportError):
    """The peer refused the call with a :class:`RelayedRefusal`."""

    def __init__(self, refusal):
        super().__init__(refusal.detail)
        self.refusal = refusal


class _PeerReader:
    """Reads responses of peers until the deadline of the call.

    The peer limits the waits for the upstream. A peer that answers no questions any
    more is given up if the call can be sent again.
    """

    def __init__(self, exchange, read_clock):
        self._exchange = exchange
        self._read_clock = read_clock

    def read(self, call, peer, read_next, check_interval_s=None, limit=None):
        """Return the result of *read_next*, which is called with a time limit.

        Raises :class:`ConnectionBroken`.
        """
        while True:
            self._exchange.keep_asking(peer, call.service)
            now = self._read_clock()
            try:
                return read_next(min(call.deadline, now + CHECK_INTERVAL_S))
            except ConnectionTimedOut:
                if self._read_clock() >= call.deadline:
                    raise
                if call.is_retryable and not self._exchange.is_alive(peer):
                    raise

    def read_body(self, call, peer, link, record_size=lambda size: None):
        """Return the whole body; raises :class:`ConnectionBroken`.

        *record_size* is called with the size of what has arrived.
        """
        return join_parts(
            lambda: self.read(call, peer, link.read_part),
            MAX_BUFFERED_BYTES,
            record_size,
        )


def _decode_refusal(head):
    """Return the :class:`RelayedRefusal` of a response, None if it isn't one.

    Raises :class:`MalformedMessage`.
    """
    value = head.fields.get(REFUSAL_FIELD)
    return None if value is None else decode_refusal(value)


def _check_answers(call, link, head, refusal):
    """Raise :class:`ConnectionBroken` unless the response answers *call*.

    A refusal of another request would make *call* count as not run.
    """
    if refusal is None:
        attempt_id = get_attempt_id(head.fields)
    elif refusal.attempt_id is None and link.exchange_count == 1:
        # Peers of earlier releases don't name the request, but the link has had no
        # other one.
        return
    else:
        attempt_id = refusal.attempt_id
    if attempt_id != call.headers.attempt_id:
        raise ConnectionBroken(
            f"status {head.status} answers {attempt_id} on exchange "
            f"{link.exchange_count} of the link"
        )


def _get_pool_key(peer):
    return ("peer", peer.name)


def _select_fields(head):
    return head.fields.get_forwarded_pairs()

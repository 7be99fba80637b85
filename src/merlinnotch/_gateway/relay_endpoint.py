"""Requests that peers relay to this instance."""

import logging

from .._errors import ErrorKind, MalformedMessage, Outcome
from .._relay import (
    REFUSAL_FIELD,
    RELAY_FIELD,
    RelayedRefusal,
    decode_mark,
    encode_refusal,
)
from ..platform import get_attempt_id
from .sources import PeerSource

logger = logging.getLogger("merlinnotch")

FORBIDDEN = 403
UNAVAILABLE = 503
MAX_RELAYED = 256
"""Relayed requests in progress, so that the callers of others can't exhaust the memory
of this instance."""


class RelayEndpoint:
    """Answers relayed requests of listed instances with *gateway*."""

    def __init__(self, gateway, view, metrics):
        self._gateway = gateway
        self._view = view
        self._metrics = metrics
        self._in_flight = 0

    @property
    def accepts_requests(self):
        """Whether another request may be relayed now."""
        return not self._gateway.is_shutting_down and self._in_flight < MAX_RELAYED

    def answer(self, request, connection, sender_host):
        """Write the response to a relayed request from the host *sender_host*.

        Raises :class:`TransportError`.
        """
        attempt_id = get_attempt_id(request.fields)
        try:
            source = PeerSource(self._check_mark(request, sender_host), attempt_id)
        except MalformedMessage as error:
            self._metrics.relays.labels("received", "invalid").inc()
            fields = {"host": sender_host, "reason": str(error)}
            logger.warning("invalid relayed request", extra=fields)
            _send_refusal(connection, attempt_id, str(error), FORBIDDEN)
            return
        if not self.accepts_requests:
            self._metrics.relays.labels("received", "denied").inc()
            detail = "accepts no relayed requests"
            _send_refusal(connection, attempt_id, detail, UNAVAILABLE)
            return
        self._metrics.relays.labels("received", "accepted").inc()
        self._in_flight += 1
        try:
            self._gateway.answer(request, connection, source)
        finally:
            self._in_flight -= 1

    def _check_mark(self, request, sender_host):
        """Return the :class:`RelayMark`; raises :class:`MalformedMessage`."""
        mark = decode_mark(request.fields.get(RELAY_FIELD))
        peer = self._view.peers.get(mark.origin)
        if peer is None or peer.address.rpartition(":")[0] != sender_host:
            raise MalformedMessage(f"sender is not the instance {mark.origin}")
        return mark


def _send_refusal(connection, attempt_id, detail, status):
    refusal = RelayedRefusal(
        kind=ErrorKind.NO_UPSTREAM,
        outcome=Outcome.NOT_RUN,
        detail=detail,
        is_elsewhere_possible=True,
        attempt_id=attempt_id,
    )
    pairs = [(REFUSAL_FIELD, encode_refusal(refusal))]
    connection.send_response(status, pairs, detail.encode())

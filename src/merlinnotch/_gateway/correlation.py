"""Matching of responses to the requests that they answer.

A faulty upstream may repeat a response, which then arrives where the response to the
next request on the connection is expected.
"""

import enum
import logging

from .._errors import ConnectionBroken
from ..platform import decode_response_id, was_not_executed

logger = logging.getLogger("merlinnotch")


class Mismatch(enum.StrEnum):
    """Why a response may not be the call's own, as logged in ``reason``."""

    FOREIGN_REFUSAL = "foreign refusal"
    FOREIGN_RESPONSE = "foreign response"
    UNNAMED_REFUSAL = "unnamed refusal"
    UNNAMED_RESPONSE = "unnamed response"


def find_mismatch(head, attempt_id):
    """Return the :class:`Mismatch` of a response head, None if it has *attempt_id*."""
    response_id = decode_response_id(head.fields)
    if response_id == attempt_id:
        return None
    is_refusal = was_not_executed(head.status, head.fields)
    if response_id is None:
        return Mismatch.UNNAMED_REFUSAL if is_refusal else Mismatch.UNNAMED_RESPONSE
    return Mismatch.FOREIGN_REFUSAL if is_refusal else Mismatch.FOREIGN_RESPONSE


class ForeignResponse(ConnectionBroken):
    """A response that may belong to another request arrived on the connection."""


class ResponseMatcher:
    """Reads the response heads of calls, and none of other requests.

    A response is known to be the call's by the id that it carries. A refusal may lack
    it; it is the call's if the call is the first on its connection.

    Mismatches are counted in ``metrics.mismatches`` and logged.
    """

    def __init__(self, metrics):
        self._metrics = metrics

    def read_head(self, call, upstream, connection, deadline):
        """Return the head of the response to *call*, which was sent to *upstream*.

        Raises :class:`ConnectionBroken`, in particular :class:`ForeignResponse`.
        """
        head = connection.read_head(deadline)
        mismatch = find_mismatch(head, call.headers.attempt_id)
        if mismatch is None:
            return head
        self._record(mismatch, call, upstream, connection, head)
        is_first = connection.exchange_count == 1
        if mismatch is Mismatch.UNNAMED_REFUSAL and is_first:
            # No other request was sent on this connection.
            return head
        raise ForeignResponse(str(mismatch))

    def _record(self, mismatch, call, upstream, connection, head):
        self._metrics.mismatches.labels(str(mismatch)).inc()
        fields = {
            "reason": str(mismatch),
            "request": call.headers.attempt_id,
            "response_id": decode_response_id(head.fields),
            "status": head.status,
            "upstream": upstream.id,
            "exchanges": connection.exchange_count,
        }
        logger.info("response does not match the request", extra=fields)

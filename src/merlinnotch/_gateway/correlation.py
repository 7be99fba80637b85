"""Matching of responses to the requests that they answer.

A faulty upstream may repeat a response, which then arrives where the response to the
next request on the connection is expected.
"""

import enum
import logging

from .._errors import ConnectionBroken
from ..platform import get_attempt_id, has_attempt_id, was_not_executed

logger = logging.getLogger("merlinnotch")

MAX_SKIPPED_RESPONSES = 3
"""Responses to other requests that may precede the awaited one; a faulty upstream
repeats one or two."""


class Mismatch(enum.StrEnum):
    """Why a response may not be the call's own, as logged in ``reason``."""

    FOREIGN_REFUSAL = "foreign refusal"
    FOREIGN_RESPONSE = "foreign response"
    UNNAMED_REFUSAL = "unnamed refusal"
    UNNAMED_RESPONSE = "unnamed response"


def find_mismatch(head, attempt_id):
    """Return the :class:`Mismatch` of a response head, None if it has *attempt_id*."""
    response_id = get_attempt_id(head.fields)
    if response_id == attempt_id:
        return None
    is_refusal = was_not_executed(head.status, head.fields)
    if not has_attempt_id(head.fields):
        return Mismatch.UNNAMED_REFUSAL if is_refusal else Mismatch.UNNAMED_RESPONSE
    return Mismatch.FOREIGN_REFUSAL if is_refusal else Mismatch.FOREIGN_RESPONSE


class ForeignResponse(ConnectionBroken):
    """A response that may belong to another request arrived on the connection."""


class ResponseMatcher:
    """Makes readers that return the response heads of calls, and none of others.

    Mismatches are counted in ``metrics.mismatches`` and logged.
    """

    def __init__(self, metrics):
        self._metrics = metrics

    def make_reader(self, call, upstream, connection):
        """Return the :class:`OwnHeadReader` for *call*, sent over *connection*."""

        def record(mismatch, head):
            self._metrics.mismatches.labels(str(mismatch)).inc()
            fields = {
                "reason": str(mismatch),
                "request": call.headers.attempt_id,
                "response_id": get_attempt_id(head.fields),
                "status": head.status,
                "upstream": upstream.id,
                "exchanges": connection.exchange_count,
            }
            logger.info("response does not match the request", extra=fields)

        return OwnHeadReader(connection, call.headers.attempt_id, record)


class OwnHeadReader:
    """Reads the head of the response to one request.

    A response is known to be the request's by the id that it carries. On a new
    connection a refusal may lack it, as no other request was sent there. On one that
    has served others, responses of theirs may come first and are skipped.

    *record* is called with the :class:`Mismatch` and the head of each other response.
    """

    def __init__(self, connection, attempt_id, record):
        self._connection = connection
        self._attempt_id = attempt_id
        self._record = record
        self._skipped_count = 0
        self._is_skipping = False

    def read(self, deadline):
        """Return the :class:`ResponseHead`; may be called again after a time-out.

        Raises :class:`ConnectionBroken`, in particular :class:`ForeignResponse`.
        """
        while True:
            if self._is_skipping:
                awaited_id = self._attempt_id.encode("latin-1")
                self._connection.skip_response(deadline, awaited_id)
                self._is_skipping = False
            head = self._connection.read_head(deadline)
            mismatch = find_mismatch(head, self._attempt_id)
            if mismatch is None:
                return head
            self._record(mismatch, head)
            is_first = self._connection.exchange_count == 1
            if is_first and mismatch is Mismatch.UNNAMED_REFUSAL:
                return head
            if is_first or self._skipped_count == MAX_SKIPPED_RESPONSES:
                raise ForeignResponse(str(mismatch))
            self._skipped_count += 1
            self._is_skipping = True

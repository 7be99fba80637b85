"""The client of the rating service."""

import json
import logging
import time
from typing import Annotated

import urllib3
from pydantic import BaseModel, Field, ValidationError

from .._daemon.task import Task
from .._errors import MerlinnotchError
from .._peers import Tally
from .._pooled_http import make_pool_manager, send_call

logger = logging.getLogger("merlinnotch")

RATINGS_PATH = "/v1/ratings"
BATCH_PATH = "/v1/ratings/batch"
TIMEOUT_S = 1.0
RATING_WAIT_S = 0.05
RATING_TIMEOUT_S = 0.15
MAX_REPLY_BYTES = 4 << 20
"""Some hundred bytes for each of thousands of ratings."""
MAX_QUEUED_ANSWERS = 500
MAX_PROMPT_CHARS = 4000
POLL_DURATION_S = 120.0
"""How long ratings are polled for after the last answer was sent for rating."""

MAX_CONSECUTIVE_FAILURES = 5
SUCCESS_STATUSES = range(200, 300)
MAX_SEQUENCE = 2**53
"""A larger one would hide all ratings after it."""
MAX_NAME_LENGTH = 256
"""Names are sent to all instances."""


class _Rating(BaseModel):
    sequence: Annotated[int, Field(ge=0, le=MAX_SEQUENCE)]
    version: Annotated[str, Field(max_length=MAX_NAME_LENGTH)]
    kind: Annotated[str, Field(max_length=MAX_NAME_LENGTH)]
    score: Annotated[float, Field(ge=0.0, le=1.0)]


class RatingsUnavailable(MerlinnotchError):
    """The rating service did not return a valid response."""


class Raters(Task):
    """Submits answers for rating and adds their scores to the tallies.

    Ratings may come late or not at all; unrated answers do not affect the tallies.
    """

    interval_s = 0.5

    def __init__(self, settings, tallies, get_target):
        super().__init__()
        self._address = settings.ratings_address
        self._instance = settings.instance
        self._tallies = tallies
        self._get_target = get_target
        self._http = make_pool_manager(maxsize=32, retries=False)
        self._queued_answers = []
        self._last_sequence = 0
        # Ratings of answers from before a restart may still arrive.
        self._poll_until = time.monotonic() + POLL_DURATION_S
        self._consecutive_failures = 0

    @property
    def can_rate(self):
        """Whether answers can be rated while their callers wait."""
        return (
            self._address is not None
            and self._consecutive_failures < MAX_CONSECUTIVE_FAILURES
        )

    def rate(self, call, version, text):
        """Return the score of an answer, from 0 to 1, or None if it is not available.

        Waits at most ``RATING_TIMEOUT_S``.
        """
        self._poll_until = time.monotonic() + POLL_DURATION_S
        try:
            body = json.dumps(
                self._build_rating_request(call, version, text, RATING_WAIT_S)
            )
            rating = self._send("POST", RATINGS_PATH, body, RATING_TIMEOUT_S, dict)
        except RatingsUnavailable:
            self._consecutive_failures += 1
            return None
        self._consecutive_failures = 0
        score = rating.get("score")
        return score if _is_score(score) else None

    def submit(self, call, version, text):
        """Add an answer to the next batch for rating; dropped if the batch is full."""
        if self._address is not None and len(self._queued_answers) < MAX_QUEUED_ANSWERS:
            self._queued_answers.append(
                self._build_rating_request(call, version, text, 0)
            )

    def run_once(self):
        if self._address is None:
            return
        batch, self._queued_answers = self._queued_answers, []
        if batch:
            self._send("POST", BATCH_PATH, json.dumps(batch), TIMEOUT_S)
        now = time.monotonic()
        if batch:
            self._poll_until = now + POLL_DURATION_S
        if now > self._poll_until:
            return
        query = f"?source={self._instance}&after={self._last_sequence}"
        ratings = self._send("GET", f"{RATINGS_PATH}{query}", None, TIMEOUT_S, list)
        self._consecutive_failures = 0
        for rating in map(_decode_rating, ratings):
            if rating is not None:
                self._last_sequence = max(self._last_sequence, rating.sequence)
                self._record_score(rating.version, rating.kind, rating.score)

    def _build_rating_request(self, call, version, text, wait_s):
        return {
            "source": self._instance,
            "request_id": call.request_id,
            "version": version.id,
            "kind": call.kind.name,
            "prompt": json.dumps(call.body["messages"])[:MAX_PROMPT_CHARS],
            "answer": text,
            "wait_ms": int(wait_s * 1000),
        }

    def _send(self, method, path, body, timeout_s, reply_type=object):
        """Return the decoded reply; raises :class:`RatingsUnavailable`.

        A reply that is no *reply_type* is not the answer to this call.
        """
        url = f"http://{self._address}{path}"
        headers = {"Content-Type": "application/json"}
        try:
            reply = send_call(
                self._http, method, url, timeout_s, MAX_REPLY_BYTES, body, headers
            )
            if reply.status not in SUCCESS_STATUSES:
                raise RatingsUnavailable(f"status {reply.status}")
            value = json.loads(reply.data)
        except (urllib3.exceptions.HTTPError, ValueError, RecursionError) as error:
            raise RatingsUnavailable(str(error)) from error
        if not isinstance(value, reply_type):
            raise RatingsUnavailable(f"reply is no {reply_type.__name__}")
        return value

    def _record_score(self, version_id, kind, score):
        meets_target = score >= self._get_target(kind)
        self._tallies.count(
            version_id,
            kind,
            Tally(
                rated=1,
                score_sum=score,
                score_square_sum=score * score,
                accepted=int(meets_target),
                accepted_sum=score if meets_target else 0.0,
            ),
        )


def _decode_rating(value):
    """Return the :class:`_Rating` in *value*, None if it is invalid."""
    try:
        return _Rating.model_validate(value)
    except ValidationError:
        return None


def _is_score(value):
    return type(value) in (int, float) and 0.0 <= value <= 1.0

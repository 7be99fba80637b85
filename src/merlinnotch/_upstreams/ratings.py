"""Having answers rated."""

import json
import logging
import time

import urllib3

from .._daemon.task import Task
from .._errors import MerlinnotchError
from .._peers import Tally

logger = logging.getLogger("merlinnotch")

RATINGS_PATH = "/v1/ratings"
BATCH_PATH = "/v1/ratings/batch"
TIMEOUT_S = 1.0
JUDGE_WAIT_S = 0.05
JUDGE_TIMEOUT_S = 0.15
MAX_WAITING = 500
MAX_PROMPT_CHARS = 4000
EXPECT_FOR_S = 120.0
"""How long ratings are asked for after the last answer was submitted."""

PAUSE_AFTER_FAILURES = 5


class RatingsUnavailable(MerlinnotchError):
    """The rating service gives no answer."""


class Raters(Task):
    """Submits answers and takes ratings in, late and partial as they are.

    An answer without a rating counts neither way.
    """

    interval_s = 0.5

    def __init__(self, settings, tallies, get_target):
        super().__init__()
        self._address = settings.ratings_address
        self._instance = settings.instance
        self._tallies = tallies
        self._get_target = get_target
        self._http = urllib3.PoolManager(maxsize=32, retries=False)
        self._waiting = []
        self._after = 0
        # A predecessor's answers may still be rated.
        self._expect_until = time.monotonic() + EXPECT_FOR_S
        self._failures = 0

    @property
    def can_judge(self):
        """Whether answers can be judged while their callers wait."""
        return self._address is not None and self._failures < PAUSE_AFTER_FAILURES

    def judge(self, call, version, text):
        """Return the score of an answer, from 0 to 1, or None in good time."""
        self._expect_until = time.monotonic() + EXPECT_FOR_S
        try:
            body = json.dumps(self._describe(call, version, text, JUDGE_WAIT_S))
            row = self._send("POST", RATINGS_PATH, body, JUDGE_TIMEOUT_S)
        except RatingsUnavailable:
            self._failures += 1
            return None
        self._failures = 0
        return row.get("score")

    def submit(self, call, version, text):
        """Have an answer rated with the next batch, unless many wait already."""
        if self._address is not None and len(self._waiting) < MAX_WAITING:
            self._waiting.append(self._describe(call, version, text, 0))

    def run_once(self):
        if self._address is None:
            return
        batch, self._waiting = self._waiting, []
        if batch:
            self._send("POST", BATCH_PATH, json.dumps(batch), TIMEOUT_S)
        now = time.monotonic()
        if batch:
            self._expect_until = now + EXPECT_FOR_S
        if now > self._expect_until:
            return
        query = f"?source={self._instance}&after={self._after}"
        rows = self._send("GET", f"{RATINGS_PATH}{query}", None, TIMEOUT_S)
        self._failures = 0
        for row in rows:
            self._after = max(self._after, row["sequence"])
            self._count(row["version"], row["kind"], row["score"])

    def _describe(self, call, version, text, wait_s):
        return {
            "source": self._instance,
            "request_id": call.request_id,
            "version": version.id,
            "kind": call.kind.name,
            "prompt": json.dumps(call.body["messages"])[:MAX_PROMPT_CHARS],
            "answer": text,
            "wait_ms": int(wait_s * 1000),
        }

    def _send(self, method, path, body, timeout_s):
        url = f"http://{self._address}{path}"
        headers = {"Content-Type": "application/json"}
        try:
            reply = self._http.request(
                method, url, body=body, headers=headers, timeout=timeout_s
            )
            return json.loads(reply.data)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise RatingsUnavailable(str(error)) from error

    def _count(self, version_id, kind, score):
        met = score >= self._get_target(kind)
        self._tallies.count(
            version_id,
            kind,
            Tally(
                rated=1,
                score_sum=score,
                score_squares=score * score,
                accepted=int(met),
                accepted_sum=score if met else 0.0,
            ),
        )

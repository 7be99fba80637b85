"""One process of simulated callers: ``python -m benchmarks.caller PLAN RESULTS``.

Arrivals are a seeded Poisson process and open-loop unless the plan is closed, so that
slow responses do not delay later requests. Callers may retry until answered, as users'
programs do.
"""

import warnings

warnings.filterwarnings("ignore")

import eventlet

eventlet.monkey_patch()

import dataclasses
import json
import re
import sys
import time

import numpy
import urllib3

from benchmarks.plan import CallerPlan, Sample

QUALITY_PATTERN = re.compile(rb"\[q=([0-9.]+)\]")
TIMEOUT_S = 60.0
MAX_ATTEMPTS = 100
SESSION_HEADER = "X-Merlinnotch-Session"


class LoadGenerator:
    """The simulated callers of one process."""

    def __init__(self, plan):
        self._plan = plan
        self._random = numpy.random.default_rng(plan.seed)
        self._http = urllib3.PoolManager(num_pools=64, maxsize=512, retries=False)
        self._started_at = time.monotonic()
        self._sessions = []
        self.samples = []

    def run(self):
        """Run the plan; return the samples."""
        eventlet.sleep(max(0.0, self._plan.start_at - time.time()))
        self._started_at = time.monotonic()
        pool = eventlet.GreenPool(4000)
        if self._plan.closed:
            for _ in range(self._plan.closed):
                pool.spawn(self._run_closed_loop)
        else:
            self._run_open_loop(pool)
        pool.waitall()
        return self.samples

    def _run_open_loop(self, pool):
        due_s = 0.0
        while due_s < self._plan.duration_s:
            due_s += self._random.exponential(1 / self._plan.rate)
            eventlet.sleep(max(0.0, due_s - self._measure_elapsed_s()))
            pool.spawn(self._call, len(self.samples))

    def _run_closed_loop(self):
        number = 0
        while self._measure_elapsed_s() < self._plan.duration_s:
            self._call(number)
            number += 1

    def _call(self, number):
        plan = self._plan
        team, kind = (
            self._choose_weighted(plan.teams),
            self._choose_weighted(plan.kinds),
        )
        sample = Sample(self._measure_elapsed_s(), team, kind)
        self.samples.append(sample)
        request_id = f"{plan.run[:8]}-{plan.seed}-{len(self.samples)}-{number}"
        streamed = self._random.random() < plan.streamed
        session_token = None
        if self._sessions and self._random.random() < plan.in_session:
            session = self._sessions[self._random.integers(len(self._sessions))]
            session_token, sample.team, sample.kind = session
        while True:
            entry = plan.entries[self._random.integers(len(plan.entries))]
            sample.tries += 1
            retry_after_s = self._send_once(
                sample, entry, request_id, streamed, session_token
            )
            sample.latency = self._measure_elapsed_s() - sample.start
            if sample.status == 200 or not plan.retry or retry_after_s is None:
                break
            if sample.tries >= MAX_ATTEMPTS or sample.latency > plan.patience_s:
                break
            eventlet.sleep(retry_after_s)

    def _send_once(self, sample, entry, request_id, streamed, session_token):
        """Send one attempt; return the retry delay in seconds, or None for no retry."""
        plan = self._plan
        body = {
            "model": sample.kind,
            "messages": [{"role": "user", "content": f"{sample.kind} {request_id}"}],
            "stream": streamed,
        }
        if plan.max_tokens:
            body["min_tokens"] = body["max_tokens"] = plan.max_tokens
        headers = {"Content-Type": "application/json", "X-Request-Id": request_id}
        if not plan.direct:
            headers["Authorization"] = f"Bearer {plan.keys[sample.team]}"
            headers["Idempotency-Key"] = request_id
            headers["X-Merlinnotch-Deadline-Ms"] = str(plan.deadline_ms)
        else:
            body["model"] = plan.direct
        if session_token:
            headers[SESSION_HEADER] = session_token
        sent_at = time.monotonic()
        try:
            response = self._http.request(
                "POST",
                f"{entry}/v1/chat/completions",
                body=json.dumps(body),
                headers=headers,
                timeout=TIMEOUT_S,
                preload_content=False,
            )
            self._read_response(sample, response, sent_at)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            sample.status, sample.error = 0, type(error).__name__
            return 0.2
        return self._process_response(sample, response)

    def _read_response(self, sample, response, sent_at):
        data = b""
        last_chunk_at = None
        sample.gaps = []
        for chunk in response.stream(65536):
            now = time.monotonic()
            if last_chunk_at is None:
                sample.first = now - sent_at
            elif b'"content"' in chunk:
                sample.gaps.append(now - last_chunk_at)
            last_chunk_at = now
            data += chunk
        response.release_conn()
        sample.status = response.status
        if response.headers.get("Content-Type", "").startswith("text/event-stream"):
            sample.tokens = data.count(b'"content"')
            if not data.endswith(b"data: [DONE]\n\n"):
                sample.status, sample.error = 0, "broken"
        elif response.status == 200:
            usage = json.loads(data).get("usage") or {}
            sample.tokens = usage.get("completion_tokens", 0)
        match = QUALITY_PATTERN.search(data)
        sample.quality = float(match.group(1)) if match else -1.0

    def _process_response(self, sample, response):
        headers = response.headers
        sample.version = headers.get("X-Merlinnotch-Version", "")
        sample.outcome = headers.get("X-Merlinnotch-Outcome", "")
        if sample.status == 200:
            if len(self._sessions) < 200 and SESSION_HEADER in headers:
                self._sessions.append(
                    (headers[SESSION_HEADER], sample.team, sample.kind)
                )
            return None
        sample.error = headers.get("X-Merlinnotch-Error-Kind", sample.error)
        wait_ms = headers.get("Retry-After-Ms")
        return float(wait_ms) / 1000 if wait_ms else None

    def _choose_weighted(self, weights):
        names = list(weights)
        shares = numpy.array([weights[name] for name in names], float)
        return names[self._random.choice(len(names), p=shares / shares.sum())]

    def _measure_elapsed_s(self):
        return time.monotonic() - self._started_at


def main():
    """Run the plan in the first file; write the samples to the second."""
    with open(sys.argv[1]) as file:
        plan = CallerPlan(**json.load(file))
    samples = LoadGenerator(plan).run()
    with open(sys.argv[2], "w") as file:
        json.dump([dataclasses.asdict(sample) for sample in samples], file)


if __name__ == "__main__":
    main()

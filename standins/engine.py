"""Stand-in of a model engine with a subset of OpenAI's API.

Simulates batching with a limited number of slots, a priority queue, and a prefix
cache of limited size that shortens the time to the first token.
``PUT /standin/switches`` changes its behaviour:

``bad``      maps versions to {"mode": "errors"|"quality"|"empty", "rate": 0..1,
             "kind": optional text that the messages contain, "drop": loss of quality}
``silent``   accept and never answer; also stalls open streams
``break_at`` abort each stream once, after this many tokens
``leaving``  reject new requests and report 410 for the load
``announce_leaving``  say in answers to chats that it is leaving, and run them
``rest_s``   reject new requests and ask for a rest of so many seconds
``late_ms``  delay before the reply starts
``token_ms`` time between tokens, overrides ``--token-ms``
``ignore_fence`` accept orders with an outdated fencing number

``GET /standin/state`` returns each run of each request.
"""

from standins.server import HANG_S, Reply, change_switches, serve

import argparse
import collections
import hashlib
import heapq
import itertools
import json
import time
from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event

ANSWER_WORDS = [
    "a",
    "small",
    "box",
    "of",
    "pears",
    "left",
    "the",
    "dock",
    "early",
    "for",
    "the",
    "school",
    "kitchen",
]
CACHE_HIT_SAVING = 0.6


@dataclass
class Switches:
    """Faults to simulate."""

    bad: dict = field(default_factory=dict)
    silent: bool = False
    break_at: int = 0
    leaving: bool = False
    announce_leaving: bool = False
    rest_s: float = 0.0
    late_ms: float = 0.0
    token_ms: float = 0.0
    ignore_fence: bool = False


@dataclass
class Options:
    """Command-line options of the engine."""

    id: str
    versions: list
    slots: int
    first_token_ms: float
    token_ms: float
    cache_entries: int
    report_lag_s: float
    qualities: dict


@dataclass
class Run:
    """One run of a request, as ``GET /standin/state`` returns it."""

    request_id: str
    version: str
    started_at: float
    resumed_at: int = 0
    tokens: int = 0
    finished: bool = False
    cancelled: bool = False


class Engine:
    """Request handler and state of the engine."""

    def __init__(self, options):
        self.options = options
        self.switches = Switches()
        self.runs = []
        self.running = 0
        self.refused = 0
        self.fence = 0
        self._waiting = []
        self._sequence = itertools.count()
        self._cache = collections.OrderedDict()
        self._interrupted = set()
        self._load_report = self._measure_load()
        eventlet.spawn(self._refresh_load_report)

    def handle(self, request):
        """Return the reply to *request*."""
        if request.path == "/standin/switches":
            return change_switches(self.switches, request)
        if request.path == "/standin/state":
            runs = [vars(run) for run in self.runs]
            return Reply({"runs": runs, "refused": self.refused})
        if self.switches.silent:
            eventlet.sleep(HANG_S)
        if request.path == "/load":
            status = 410 if self.switches.leaving else 200
            return Reply(self._load_report, status)
        if request.path == "/orders":
            return self._apply_order(request.json())
        if request.path == "/v1/chat/completions":
            return self._chat(request)
        return Reply({"error": {"message": "no such path"}}, 404)

    def _chat(self, request):
        body = request.json()
        request_id = request.headers.get("X_REQUEST_ID", "")
        headers = {"X-Request-Id": request_id, "Content-Type": "text/event-stream"}
        if self.switches.announce_leaving:
            headers["Server-Leaving"] = "1"
        refusal = self._find_refusal(body["model"])
        if refusal:
            self.refused += 1
            headers["X-Not-Run"] = refusal
            if self.switches.rest_s:
                headers["Retry-After"] = str(self.switches.rest_s)
            return Reply({"error": {"message": refusal}}, 503, headers)
        failure_mode = self._select_failure_mode(body, request_id)
        if failure_mode == "errors":
            self.runs.append(Run(request_id, body["model"], time.time()))
            return Reply({"error": {"message": "boom"}}, 500, headers)
        if self.switches.late_ms:
            eventlet.sleep(self.switches.late_ms / 1000)
        resume_from = int(request.headers.get("X_RESUME_FROM", 0))
        run = Run(request_id, body["model"], time.time(), resume_from)
        self.runs.append(run)
        priority = int(request.headers.get("X_PRIORITY", 5))
        events = self._generate(body, run, failure_mode, priority)
        # Headers are sent with the first token, so that the time to the headers
        # includes the delay of the engine.
        first = next(events)
        return Reply(itertools.chain([first], events), 200, headers)

    def _find_refusal(self, version):
        if self.switches.leaving:
            return "leaving"
        if version not in self.options.versions:
            return "model_not_found"
        is_full = len(self._waiting) >= 4 * self.options.slots
        if is_full or self.switches.rest_s:
            return "overloaded"
        return None

    def _select_failure_mode(self, body, request_id):
        rule = self.switches.bad.get(body["model"])
        if not rule:
            return None
        kind = rule.get("kind")
        if kind and kind not in json.dumps(body["messages"]):
            return None
        if _hash_to_unit(f"bad{request_id}") >= rule.get("rate", 1.0):
            return None
        return rule["mode"]

    def _generate(self, body, run, failure_mode, priority):
        self._acquire_slot(priority)
        completed = False
        try:
            prompt = json.dumps(body["messages"])
            eventlet.sleep(self._first_token_s(prompt))
            yield from self._write_events(body, run, failure_mode, prompt)
            run.finished = completed = True
        finally:
            run.cancelled = not completed
            self._release_slot()

    def _write_events(self, body, run, failure_mode, prompt):
        words = (
            []
            if failure_mode == "empty"
            else self._write_words(body, run, failure_mode, prompt)
        )
        envelope = {
            "id": f"chatcmpl-{run.request_id}",
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": body["model"],
        }
        for number, word in enumerate(words):
            if number < run.resumed_at:
                continue
            if number > run.resumed_at:
                token_ms = self.switches.token_ms or self.options.token_ms
                eventlet.sleep(token_ms / 1000)
            self._simulate_faults(run, number)
            run.tokens += 1
            yield _encode_chunk(envelope, {"content": word}, None)
        yield _encode_chunk(envelope, {}, "stop")
        prompt_tokens = len(prompt.split())
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(words),
            "total_tokens": prompt_tokens + len(words),
        }
        usage_chunk = {**envelope, "choices": [], "usage": usage}
        yield b"data: " + json.dumps(usage_chunk).encode() + b"\n\n"
        yield b"data: [DONE]\n\n"

    def _simulate_faults(self, run, number):
        while self.switches.silent:
            eventlet.sleep(0.05)
        limit = self.switches.break_at
        if limit and number >= limit and run.request_id not in self._interrupted:
            self._interrupted.add(run.request_id)
            raise ConnectionError("stream aborted by break_at")

    def _write_words(self, body, run, failure_mode, prompt):
        """Return the words of the answer; the first one encodes its quality."""
        quality = self.options.qualities.get(body["model"].partition("@")[0], 0.7)
        quality += 0.3 * (_hash_to_unit(f"{prompt}{body['model']}") - 0.5)
        if failure_mode == "quality":
            quality -= self.switches.bad[body["model"]].get("drop", 0.2)
        quality = min(1.0, max(0.0, quality))
        length = 8 + int(24 * _hash_to_unit(run.request_id))
        length = max(length, body.get("min_tokens") or 0)
        length = min(length, body.get("max_tokens") or length)
        words = [f"{ANSWER_WORDS[n % len(ANSWER_WORDS)]} " for n in range(length - 1)]
        return [f"[q={quality:.3f}] ", *words]

    def _first_token_s(self, prompt):
        prefix = prompt[:256]
        cached = prefix in self._cache
        self._cache[prefix] = True
        self._cache.move_to_end(prefix)
        if len(self._cache) > self.options.cache_entries:
            self._cache.popitem(last=False)
        fraction = 1 - CACHE_HIT_SAVING if cached else 1
        return self.options.first_token_ms * fraction / 1000

    def _acquire_slot(self, priority):
        if self.running < self.options.slots:
            self.running += 1
            return
        slot_event = Event()
        entry = (-priority, next(self._sequence), slot_event)
        heapq.heappush(self._waiting, entry)
        try:
            slot_event.wait()
        except BaseException:
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            raise

    def _release_slot(self):
        if self._waiting:
            heapq.heappop(self._waiting)[2].send(True)
        else:
            self.running -= 1

    def _apply_order(self, order):
        if order["fence"] < self.fence and not self.switches.ignore_fence:
            return Reply({"error": {"message": "old fencing number"}}, 409)
        self.fence = max(self.fence, order["fence"])
        self.options.versions = list(order["versions"])
        return Reply({"versions": self.options.versions, "fence": self.fence})

    def _measure_load(self):
        return {
            "running": self.running,
            "waiting": len(self._waiting),
            "slots": self.options.slots,
            "versions": self.options.versions,
        }

    def _refresh_load_report(self):
        while True:
            report = self._measure_load()
            eventlet.sleep(self.options.report_lag_s)
            self._load_report = report


def _encode_chunk(envelope, delta, reason):
    choice = {"index": 0, "delta": delta, "finish_reason": reason}
    return b"data: " + json.dumps({**envelope, "choices": [choice]}).encode() + b"\n\n"


def _hash_to_unit(text):
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / 2**64


def main():
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--versions", required=True, help="comma-separated")
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--first-token-ms", type=float, default=20)
    parser.add_argument("--token-ms", type=float, default=2)
    parser.add_argument("--cache-entries", type=int, default=64)
    parser.add_argument("--report-lag-s", type=float, default=0.2)
    parser.add_argument("--qualities", default="{}", help="JSON, model to quality")
    options = parser.parse_args()
    engine = Engine(
        Options(
            options.id,
            options.versions.split(","),
            options.slots,
            options.first_token_ms,
            options.token_ms,
            options.cache_entries,
            options.report_lag_s,
            json.loads(options.qualities),
        )
    )
    serve(options.address, engine.handle)


if __name__ == "__main__":
    main()

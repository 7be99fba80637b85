"""Upstreams that record each run and fail at random."""

import math
import re

import eventlet

from merlinnotch._entry.clock import read_clock
from standins import endless
from standins.platform_upstream import (
    StandInUpstream,
    make_answer,
    make_answer_script,
    refuse,
    write_stream,
)

from .history import (
    DEADLY_PART,
    POISON,
    STREAM_EVENTS,
    Arrival,
    Repeat,
    Run,
    list_bodies,
    make_body,
    make_event,
    make_failure_body,
)
from .repeats import FORMS, ID_LINE, RepeatingConnection

EVENT_INTERVAL_S = 0.03
SLOW_ANSWER_S = 0.6
CREDENTIAL_FIELD = "x-credential"
FAILURES = ("refused", "failed", "lost", "slow", "cut", "endless")
FAILED_RUNS = ("failed", "lost", "cut", "endless")
ENDLESS_KINDS = ("header line", "interim responses", "chunked body")
ENDLESS_PAUSE_S = 0.02
"""Pause between two blocks, as other upstreams run in the same process."""
BASE_FAILURE_RATE = 0.06
"""Probability of a random failure of a request, also without an injected fault."""
SLOTS = 8
QUEUE_LENGTH = 2
"""Requests that wait while all slots are in use; further ones are refused."""
CROWDED_SLOTS = 1
"""Slots that other senders leave over in a crowd."""
REPEAT_RATE = 0.2
ODD_REFUSAL_RATE = 0.05
"""Probability of a refusal for another reason than full slots, in a crowd."""
FULL = (503, True)
ODD_REFUSALS = ((421, True), (421, False), (429, True), (400, False))
"""Status, and whether the refusal names the request."""
SLOT_POLL_S = 0.002
EARLY_REFUSAL_RATE = 0.5
LONG_REQUEST = re.compile(rb"\r\ncontent-length: \d{5,}\r\n", re.IGNORECASE)
PACE_INTERVAL_S = 0.6
BUSY_PACE = 250
"""Reported while a machine is busy with other work, which it is in one interval of
seven."""


class SoakUpstream(StandInUpstream):
    """Upstream that derives its answer from the attempt id.

    *failure* is one of FAILURES or None, *failure_rate* the probability that a
    request meets it. With *is_leaving* its answers say so; until *rests_until* it
    turns requests away with the rest that is left. Its answers name *limit_per_s*, set
    by :meth:`set_limit`. *on_crash* is called with the upstream when a request has
    crashed it. Until *repeats_until* it repeats some answers, until *crowded_until*
    other senders use most of its slots; *repeat_generator* decides on both.
    """

    def __init__(
        self,
        upstream_id,
        history,
        generator,
        repeat_generator,
        is_streaming,
        on_crash,
    ):
        super().__init__(self._answer)
        self._on_crash = on_crash
        self.id = upstream_id
        self.failure = None
        self.failure_rate = 0.3
        self.is_leaving = False
        self.rests_until = -math.inf
        self.limit_per_s = None
        self.reports_load = False
        self.repeats_until = -math.inf
        self.crowded_until = -math.inf
        self._running = 0
        self._waiting = 0
        self._history = history
        self._repeat_generator = repeat_generator
        self._generator = generator
        self._is_streaming = is_streaming

    def set_limit(self, per_s):
        """Name *per_s* requests per second from now on, None for no limit."""
        self.limit_per_s = per_s
        self._history.limits[self.id].append((read_clock(), per_s))

    def make_connection(self, sock):
        """Return the connection that serves *sock*."""
        return RepeatingConnection(
            sock,
            self._choose_repeat,
            self._refuse_early,
            self._record_repeat,
            self._repeat_generator,
        )

    def _choose_repeat(self):
        generator = self._repeat_generator
        if read_clock() < self.repeats_until and generator.random() < REPEAT_RATE:
            return generator.choice(FORMS)
        return None

    def _record_repeat(self, attempt_id, form):
        repeat = Repeat(attempt_id, self.id, read_clock(), form)
        self._history.repeats.append(repeat)

    def _refuse_early(self, head):
        """Return a refusal of some requests with long bodies, None for the others."""
        is_early = LONG_REQUEST.search(head) and (
            self._repeat_generator.random() < EARLY_REFUSAL_RATE
        )
        if not is_early:
            return None
        attempt_id = ID_LINE.search(head)[1].decode()
        self._history.arrivals.append(Arrival(attempt_id, self.id, read_clock()))
        return encode_refusal(attempt_id, *FULL, self._list_notices())

    def _answer(self, request, write):
        now = read_clock()
        rest_s = max(0.0, round(self.rests_until - now, 2))
        attempt_id = request.fields.get("x-attempt-id", "")
        self._history.arrivals.append(
            Arrival(attempt_id, self.id, now, self.is_leaving, rest_s, self.limit_per_s)
        )
        if rest_s > 0.0:
            extra = [("x-not-executed", "1"), ("retry-after", f"{rest_s:.2f}")]
            return make_answer_script(b"", 503, extra)(request, write)
        refusal = self._choose_refusal() or self._wait_for_slot(
            now + int(request.fields.get("x-deadline-ms", 0)) / 1000.0
        )
        if refusal is not None:
            write(encode_refusal(attempt_id, *refusal, self._list_notices()))
            return True
        self._running += 1
        try:
            return self._run(request, write, attempt_id)
        finally:
            self._running -= 1

    def _is_crowded(self):
        return read_clock() < self.crowded_until

    def _count_slots(self):
        return CROWDED_SLOTS if self._is_crowded() else SLOTS

    def _choose_refusal(self):
        """Return status and whether to name the request, None to accept it."""
        generator = self._repeat_generator
        if self._is_crowded() and generator.random() < ODD_REFUSAL_RATE:
            return generator.choice(ODD_REFUSALS)
        is_full = self._running >= self._count_slots()
        return FULL if is_full and self._waiting >= QUEUE_LENGTH else None

    def _wait_for_slot(self, deadline):
        """Return None once there is a slot, or a refusal if there is none in time."""
        self._waiting += 1
        try:
            while self._running >= self._count_slots():
                if read_clock() > deadline:
                    return FULL
                eventlet.sleep(SLOT_POLL_S)
        finally:
            self._waiting -= 1
        return None

    def _run(self, request, write, attempt_id):
        if request.body == POISON:
            return self._crash(request, write, self._history.crashes)
        if DEADLY_PART in request.fields.get("x-prompt-prefix", ""):
            return self._crash(request, write, self._history.part_crashes)
        failure = self._choose_failure()
        if failure == "refused":
            return refuse(request, write)
        fields = request.fields
        if request.target.startswith("/health"):
            write(make_answer(request))
            return True
        run = Run(
            attempt_id,
            self.id,
            fields.get("x-tenant"),
            fields.get(CREDENTIAL_FIELD) is not None,
            read_clock(),
            failed=failure in FAILED_RUNS,
            is_intact=request.body in list_bodies(request.method, attempt_id),
        )
        self._history.runs.append(run)
        if failure == "lost":
            return False
        if failure == "endless":
            return self._write_without_end(write, attempt_id)
        if failure == "failed":
            body = make_failure_body(attempt_id)
            write(make_answer(request, body, 500, self._list_notices()))
            return True
        if failure == "slow":
            eventlet.sleep(SLOW_ANSWER_S)
        if self._is_streaming:
            return self._write_stream(request, write, attempt_id, failure)
        eventlet.sleep(self._generator.uniform(0.005, 0.05))
        extra = self._list_notices()
        write(make_answer(request, make_body(attempt_id), extra=extra))
        return True

    def _write_without_end(self, write, attempt_id):
        """Write a response that ends only when its reader closes the connection."""
        response = endless.KINDS[self._generator.choice(ENDLESS_KINDS)]
        for block in response.generate(attempt_id.encode()):
            write(block)
            eventlet.sleep(ENDLESS_PAUSE_S)

    def _crash(self, request, write, crashes):
        attempt_id = request.fields.get("x-attempt-id", "")
        crashes.append((read_clock(), attempt_id))
        if self._is_streaming:
            first = int(request.fields.get("last-event-id", 0)) + 1
            events = [(n, make_event(attempt_id, n)) for n in (first, first + 1)]
            write_stream(request, write, events, first + 1)
        self._on_crash(self)
        return False

    def _choose_failure(self):
        if self._generator.random() < BASE_FAILURE_RATE:
            return self._generator.choice(FAILURES)
        return self.failure if self._generator.random() < self.failure_rate else None

    def _write_stream(self, request, write, attempt_id, failure):
        first = int(request.fields.get("last-event-id", 0)) + 1
        stop_at = self._generator.randint(1, STREAM_EVENTS) if failure == "cut" else 0
        events = [
            (number, make_event(attempt_id, number))
            for number in range(first, STREAM_EVENTS + 1)
        ]
        return write_stream(
            request, write, events, stop_at, self._list_notices(), EVENT_INTERVAL_S
        )

    def _list_notices(self):
        pairs = [("server-leaving", "1")] if self.is_leaving else []
        if self.limit_per_s is not None:
            pairs.append(("server-limit", f"{self.limit_per_s:.2f}"))
        if self.reports_load:
            is_busy = int(read_clock() / PACE_INTERVAL_S) % 7 == 0
            pace = BUSY_PACE if is_busy else 100
            running = min(self._running + SLOTS - self._count_slots(), SLOTS)
            load = f"{running},{self._waiting},{SLOTS},{pace}"
            pairs.append(("x-server-load", load))
        return pairs


def encode_refusal(attempt_id, status, has_id, extra):
    """Return the bytes of a refusal, which names the request if *has_id* is set."""
    lines = [f"HTTP/1.1 {status} X", "content-length: 0", "x-not-executed: 1"]
    lines += [f"{name}: {value}" for name, value in extra]
    if has_id:
        lines.append(f"x-attempt-id: {attempt_id}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"

"""A refusal that arrives twice, and the request after it on that connection.

Exits with 1 if a request that isn't idempotent ran more than once, with 0 if none did,
with 2 if the case couldn't run.
"""

import collections
import pathlib
import random
import sys
import weakref

import eventlet

from merlinnotch._entry.clock import read_clock
from review.harness import (
    KEY,
    ONCE_PATH,
    Deployment,
    Record,
    is_troubled,
    request,
    run_case,
)
from standins.platform_upstream import StandInUpstream, make_answer

INSTANCES = 2
UPSTREAMS = 4
SLOTS = 6
QUEUE = 2
WORK_MEAN_S = 0.045
BURST_PER_S = 480.0
LENGTH_S = 30.0
SPELL_S = 5.0
SPELLS_AT_S = (2.0, 12.0, 22.0)
FAULTY_SHARE = 0.5
EXTRA_SHARE = 0.03
MIN_ANSWERED = 500


class Upstream:
    """A server with SLOTS slots and a short queue, which refuses what exceeds them.

    While *is_faulty*, it sends some of its answers a second time: late, where the next
    answer on that connection is expected, under the id of the request that it answers.
    """

    def __init__(self, name, record, generator):
        self.name = name
        self.is_faulty = False
        self.extra_count = 0
        self.runs = []
        self._record = record
        self._generator = generator
        self._slots = eventlet.semaphore.Semaphore(SLOTS)
        self._waiting = 0
        self._extras = weakref.WeakKeyDictionary()
        self.server = StandInUpstream(self._answer)

    def _answer(self, request, write):
        connection = write.__self__
        if request.target == "/health":
            write(make_answer(request, b"", 200, [("x-instance-id", self.name)]))
            return True
        attempt_id = request.fields.get("x-attempt-id")
        extra = self._extras.pop(connection, None)
        if extra is not None:
            extra_id, data = extra
            self._record.write(f"{self.name} sends again its answer to {extra_id}")
            write(data)
        if request.fields.get("x-expect-instance") != self.name:
            answer = make_answer(request, b"", 421)
        elif self._slots.locked() and self._waiting >= QUEUE:
            self._record.write(f"{self.name} refuses {attempt_id}, not executed")
            answer = make_answer(request, b"", 503, [("x-not-executed", "1")])
        else:
            self._run(attempt_id)
            answer = make_answer(request, b"x" * 800)
        write(answer)
        if self.is_faulty and self._generator.random() < EXTRA_SHARE:
            self.extra_count += 1
            self._extras[connection] = (attempt_id, answer)
        return True

    def _run(self, attempt_id):
        self._waiting += 1
        self._slots.acquire()
        self._waiting -= 1
        try:
            self._record.write(f"{self.name} runs {attempt_id}")
            self.runs.append(attempt_id)
            eventlet.sleep(self._generator.uniform(0.5, 1.5) * WORK_MEAN_S)
        finally:
            self._slots.release()


def send_one(address, attempt_id, record, answers):
    fields = {
        "x-attempt-id": attempt_id,
        "x-credential": KEY,
        "x-deadline-ms": "1500",
    }
    record.write(f"caller sends {attempt_id}")
    try:
        response = request(address, "POST", ONCE_PATH + "a", fields, b"b" * 600)
    except OSError:
        record.write(f"no connection for {attempt_id}")
        return
    answers[attempt_id] = response.status
    record.write(f"caller gets {response.status} to {attempt_id}")


def play(deployment, upstreams, record, generator):
    """Send the load; return the status of each answer by attempt id."""
    answers = {}
    started_at = read_clock()
    number = 0
    pool = eventlet.GreenPool(400)
    next_at = started_at
    while (now := read_clock()) - started_at < LENGTH_S:
        in_spell = any(0 <= now - started_at - at < SPELL_S for at in SPELLS_AT_S)
        for upstream in upstreams[: int(FAULTY_SHARE * len(upstreams))]:
            upstream.is_faulty = in_spell and is_troubled()
        number += 1
        instance = deployment.instances[number % len(deployment.instances)]
        pool.spawn_n(
            send_one, instance.caller_address, f"a{number:06d}", record, answers
        )
        next_at += generator.expovariate(BURST_PER_S)
        eventlet.sleep(max(0.0, next_at - read_clock()))
    pool.waitall()
    return answers


def main():
    generator = random.Random(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
    record = Record(pathlib.Path(__file__).parent)
    with Deployment(INSTANCES) as deployment:
        upstreams = []
        for n in range(UPSTREAMS):
            upstream = Upstream(f"i-{n}", record, generator)
            upstreams.append(upstream)
            deployment.list_upstream(upstream.name, upstream.server.address, SLOTS)
        try:
            deployment.start()
        except (TimeoutError, OSError) as error:
            print(f"the case couldn't run: {error}")
            return 2
        answers = play(deployment, upstreams, record, generator)
    counts = collections.Counter(run for u in upstreams for run in u.runs)
    twice = sorted(attempt_id for attempt_id, count in counts.items() if count > 1)
    refused = [a for a, s in answers.items() if s in (429, 503) and counts[a]]
    statuses = dict(collections.Counter(answers.values()))
    for attempt_id in twice:
        record.write(f"{attempt_id} ran {counts[attempt_id]} times")
    for attempt_id in refused:
        record.write(f"{attempt_id} was answered {answers[attempt_id]} and has run")
    summary = (
        f"{len(answers)} answered: {statuses}; {sum(u.extra_count for u in upstreams)} "
        f"answers sent again; {len(twice)} requests ran twice, {len(refused)} were "
        "answered 429 or 503 and have run"
    )
    record.write(summary)
    record.close()
    print(summary)
    if statuses.get(200, 0) < MIN_ANSWERED:
        return 2
    return 1 if twice else 0


if __name__ == "__main__":
    run_case(main)

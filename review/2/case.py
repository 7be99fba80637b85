"""Instances that are stopped in turn, and callers that keep their connections.

Exits with 1 if a request was passed on to a server and its connection ended without an
answer, with 0 if none was, with 2 if the case couldn't run.
"""

import collections
import pathlib
import random
import sys

import eventlet

from merlinnotch._entry.clock import read_clock
from review.harness import (
    KEY,
    ONCE_PATH,
    CallerConnection,
    Deployment,
    Record,
    Rotation,
    is_troubled,
    run_case,
)
from standins.platform_upstream import StandInUpstream, make_answer

INSTANCES = 2
UPSTREAMS = 4
SLOTS = 6
WORK_S = 0.03
CALLERS = 1600
LENGTH_S = 90.0
FIRST_STOP_S = 8.0
PAUSE_S = 3.0
MAX_IDLE_S = 12.0
"""Four fifths of the idle timeout of the configuration, 15 s."""
MIN_ANSWERED = 2000


class Servers:
    """The servers, which run each request for WORK_S seconds."""

    def __init__(self, deployment, record):
        self.received = set()
        self._record = record
        for n in range(UPSTREAMS):
            name = f"i-{n}"
            server = StandInUpstream(self._make_script(name))
            deployment.list_upstream(name, server.address, SLOTS)

    def _make_script(self, name):
        def answer(request, write):
            attempt_id = request.fields.get("x-attempt-id")
            self._record.write(f"{name} runs {attempt_id}")
            self.received.add(attempt_id)
            eventlet.sleep(WORK_S)
            write(make_answer(request, b"x" * 800))
            return True

        return answer


class Caller:
    """Sends one request after the other and keeps its connection if it may."""

    def __init__(self, name, rotation, record, generator, results):
        self._name = name
        self._rotation = rotation
        self._record = record
        self._generator = generator
        self._results = results
        self._number = 0
        self._instance = None
        self._connection = None

    def run(self, until):
        """Send requests until the time *until*."""
        while read_clock() < until:
            eventlet.sleep(self._generator.uniform(0.1, MAX_IDLE_S))
            self._number += 1
            self._send(f"{self._name}-{self._number}")
        self._close()

    def _send(self, attempt_id):
        fields = {"x-attempt-id": attempt_id, "x-credential": KEY}
        fields["x-deadline-ms"] = "1500"
        if self._connection is not None and self._connection.is_closed():
            self._close()
        is_kept = self._connection is not None
        try:
            if not is_kept:
                self._instance = self._generator.choice(self._rotation.list_in())
                self._connection = CallerConnection(self._instance.caller_address)
            self._connection.send("POST", ONCE_PATH + "a", fields, b"b" * 600)
        except OSError:
            self._results[attempt_id] = ("closed before it was sent", 0.0)
            self._close()
            return
        sent_at = read_clock()
        kind = "kept" if is_kept else "new"
        self._record.write(
            f"{attempt_id} sent to {self._instance.name} on a {kind} connection"
        )
        response = self._connection.receive()
        ms = 1000.0 * (read_clock() - sent_at)
        outcome = str(response.status) if response.is_complete else "no answer"
        self._record.write(f"{attempt_id} ends after {ms:.1f} ms: {outcome}")
        self._results[attempt_id] = (outcome, ms)
        if not response.is_complete or response.fields.get("connection") == "close":
            self._close()

    def _close(self):
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def stop_in_turn(deployment, record, until):
    """Stop and start one instance after the other until the time *until*."""
    count = 0
    eventlet.sleep(FIRST_STOP_S)
    while read_clock() < until and is_troubled():
        instance = deployment.instances[count % len(deployment.instances)]
        record.write(f"SIGTERM to {instance.name}")
        instance.terminate()
        instance.wait_until_ended()
        record.write(f"{instance.name} has ended with {instance.process.returncode}")
        instance.start()
        instance.wait_until_ready()
        record.write(f"{instance.name} is ready again")
        count += 1
        eventlet.sleep(PAUSE_S)
    return count


def main():
    generator = random.Random(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
    record = Record(pathlib.Path(__file__).parent)
    results = {}
    with Deployment(INSTANCES) as deployment:
        servers = Servers(deployment, record)
        deployment.start()
        rotation = Rotation(deployment.instances)
        until = read_clock() + LENGTH_S
        stops = eventlet.spawn(stop_in_turn, deployment, record, until - 12.0)
        pool = eventlet.GreenPool(CALLERS)
        for n in range(CALLERS):
            caller = Caller(f"c{n}", rotation, record, generator, results)
            pool.spawn_n(caller.run, until - 2.0)
        stop_count = stops.wait()
        pool.waitall()
    unanswered = [a for a, (outcome, _) in results.items() if outcome == "no answer"]
    lost = [a for a in unanswered if a in servers.received]
    for attempt_id in lost:
        record.write(f"{attempt_id} was passed on and got no answer")
    outcomes = dict(collections.Counter(outcome for outcome, _ in results.values()))
    summary = (
        f"{stop_count} stops; {outcomes}; of those without an answer "
        f"{len(lost)} were passed on to a server"
    )
    record.write(summary)
    record.close()
    print(summary)
    if outcomes.get("200", 0) < MIN_ANSWERED:
        return 2
    return 1 if lost else 0


if __name__ == "__main__":
    run_case(main)

"""Callers that keep their connections to an entry that is stopped again and again.

Run with ``python -W ignore -m benchmarks.stopped_entries``.

Two entries of ``merlinnotch serve`` and their stand-ins are processes; the callers run
in this one. They send bookings, which must run once, each with an idempotency key, and
look whether their connection was closed before they use it. The first entry gets
SIGTERM, ends by itself and starts again.

Prints what callers got. Exits with 1 if a request ran and its connection ended without
an answer, or if one ran twice; with 2 if the run was not possible.
"""

import argparse
import collections
import random
import signal
import sys

import eventlet

from merlinnotch._entry.clock import read_clock
from review.harness import CallerConnection, Response, request, run_case
from standins import http
from standins.layout import AUTHORITY, EngineSpec, Layout
from standins.stack import Stack

TEAM = "claims-desk"
BOOKING_PATH = "/services/marketplace/claims"
MAX_PAUSE_S = 12.0
FIRST_STOP_S = 8.0
PAUSE_BETWEEN_STOPS_S = 4.0
POLL_INTERVAL_S = 0.05
MAX_EXIT_S = 40.0
MIN_ANSWERED = 500
NO_ANSWER = "none"
NOT_SENT = "not sent"
LAYOUT = Layout(
    example=AUTHORITY.example,
    service_pool=AUTHORITY.service_pool,
    versions=AUTHORITY.versions,
    qualities=AUTHORITY.qualities,
    entry_zones=("zone-a", "zone-b"),
    engines=(EngineSpec("engine-0", "zone-a"),),
    service_zones=("zone-a", "zone-b"),
    drain_s=1.0,
)


class Caller:
    """Sends one booking after the other to *entry* and keeps its connection."""

    def __init__(self, name, entry, key, generator, results):
        self._name = name
        self._entry = entry
        self._key = key
        self._generator = generator
        self._results = results
        self._connection = None
        self._count = 0

    def run(self, until):
        """Send bookings until the time *until*."""
        while read_clock() < until:
            eventlet.sleep(self._generator.uniform(0.1, MAX_PAUSE_S))
            self._count += 1
            request_id = f"{self._name}-{self._count}"
            self._results[request_id] = self._send(request_id)
        self._close()

    def _send(self, request_id):
        """Return the status, NO_ANSWER or NOT_SENT."""
        if self._connection is not None and self._connection.is_closed():
            self._close()
        fields = {"authorization": f"Bearer {self._key}", "idempotency-key": request_id}
        try:
            if self._connection is None:
                self._connection = CallerConnection(self._entry.caller, 8.0)
            self._connection.send("POST", BOOKING_PATH, fields, b"b" * 600)
        except OSError:
            self._close()
            return NOT_SENT
        response = self._receive()
        if not response.is_complete or response.fields.get("connection") == "close":
            self._close()
        return str(response.status) if response.is_complete else NO_ANSWER

    def _receive(self):
        try:
            return self._connection.receive()
        except OSError:
            return Response()

    def _close(self):
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def stop_again_and_again(stack, entry, count):
    """Stop and start *entry* *count* times; return its exit codes."""
    codes = []
    eventlet.sleep(FIRST_STOP_S)
    for _ in range(count):
        process = entry.process
        process.send(signal.SIGTERM)
        until = read_clock() + MAX_EXIT_S
        while process.is_running and read_clock() < until:
            eventlet.sleep(POLL_INTERVAL_S)
        codes.append(process.wait(0.1))
        stack.start_entry(entry)
        while not is_ready(entry):
            eventlet.sleep(POLL_INTERVAL_S)
        eventlet.sleep(PAUSE_BETWEEN_STOPS_S)
    return codes


def is_ready(entry):
    """Return whether the readiness endpoint of *entry* answers 200."""
    try:
        return request(entry.metrics, "GET", "/readyz", {}).status == 200
    except (OSError, ValueError):
        return False


def count_runs(stack):
    """Return how often the services ran each request."""
    runs = collections.Counter()
    for address in stack.services.values():
        runs.update(http.get(address, "/standin/state")["runs"])
    return runs


def parse_options():
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--callers", type=int, default=700)
    parser.add_argument("--stops", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=50.0)
    return parser.parse_args()


def play(stack, options):
    """Run the load and the stops; return results by request, and exit codes."""
    generator = random.Random(options.seed)
    key = stack.read_team_keys()[TEAM]
    entry = stack.entries[0]
    results = {}
    stops = eventlet.spawn(stop_again_and_again, stack, entry, options.stops)
    until = read_clock() + options.seconds
    callers = [
        eventlet.spawn(Caller(f"c{n}", entry, key, generator, results).run, until)
        for n in range(options.callers)
    ]
    for caller in callers:
        caller.wait()
    return results, stops.wait()


def main():
    """Run the load and return the exit code."""
    options = parse_options()
    stack = Stack(LAYOUT)
    stack.start()
    try:
        results, codes = play(stack, options)
        runs = count_runs(stack)
    finally:
        stack.stop()
    outcomes = collections.Counter(results.values())
    lost = [i for i, r in results.items() if r == NO_ANSWER and runs[i]]
    twice = [i for i in results if runs[i] > 1]
    print(
        f"seed {options.seed}: {len(codes)} stops, exit codes {codes};",
        f"{dict(sorted(outcomes.items()))};",
        f"without an answer but ran: {len(lost)}; ran twice: {len(twice)}",
        f"{sorted(lost)[:5]}",
    )
    if outcomes["200"] < MIN_ANSWERED:
        print("not possible: too few requests were served", file=sys.stderr)
        return 2
    return 1 if lost or twice else 0


if __name__ == "__main__":
    run_case(main)

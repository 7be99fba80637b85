"""Requests that must not run twice, at upstreams that repeat responses.

Run with ``PYTHONPATH=target/deps:. python3 -W ignore -m benchmarks.repeated_responses``
after the build of the deploy file; ``--help`` lists the options.

Instances are processes, started by the command of the deploy file. Store, callers and
four upstreams of six slots and a queue of two run in this process, which therefore adds
to the latencies. Half of the upstreams send 3 in 100 of their responses again. Callers
send each request once, on a connection of its own.

Prints a table and the history of requests that went wrong. The victim of a repeated
response is the next request on its connection. An answer counts as none if the
connection ended without one, as it does before a request is read while an instance
falls behind. Exits with 1 if a request ran twice, was
answered 408, 421, 429 or 503 though it ran, arrived with another body or got another
request's response; with 2 if the run was not possible.
"""

import argparse
import collections
import random
import sys
from dataclasses import dataclass

import eventlet

from merlinnotch._entry.clock import read_clock
from review.harness import KEY, ONCE_PATH, Deployment, request, run_case

from .repeating_upstream import (
    FILLER,
    LONG_BODY_BYTES,
    SLOTS,
    Faults,
    Journal,
    Kind,
    RepeatingUpstream,
)

UPSTREAM_COUNT = 4
FAULTY_COUNT = 2
BODY_BYTES = 600
LONG_SHARE = 0.1
DEADLINE_MS = 1500
MAX_CALLERS = 800
SETTLE_S = 2.0
"""Longer than any deadline: what is still queued at an upstream runs within it."""
MIN_SERVED_SHARE = 0.1
NOT_RUN_STATUSES = (408, 421, 429, 503)
MAX_HISTORIES = 5
NO_ANSWER = "none"


@dataclass(frozen=True)
class Answer:
    """What a caller got; *status* is ``NO_ANSWER`` if the connection ended."""

    status: int | str
    latency_s: float
    is_own: bool = True


class Load:
    """Callers that send requests at random times, *rate* a second on average."""

    def __init__(self, deployment, journal, options, generator):
        self._addresses = [i.caller_address for i in deployment.instances]
        self._journal = journal
        self._options = options
        self._generator = generator
        self.answers = {}

    def run(self):
        """Send requests and wait for all answers."""
        until = read_clock() + self._options.seconds
        pool = eventlet.GreenPool(MAX_CALLERS)
        next_at = read_clock()
        while next_at < until:
            eventlet.sleep(max(0.0, next_at - read_clock()))
            number = len(self.answers)
            attempt_id = f"a{number:06d}"
            self.answers[attempt_id] = None
            address = self._addresses[number % len(self._addresses)]
            pool.spawn_n(self._send, address, attempt_id, self._choose_body())
            next_at += self._generator.expovariate(self._options.rate)
        pool.waitall()

    def _choose_body(self):
        if self._options.long_bodies and self._generator.random() < LONG_SHARE:
            return FILLER * LONG_BODY_BYTES
        return FILLER * BODY_BYTES

    def _send(self, address, attempt_id, body):
        fields = {
            "x-attempt-id": attempt_id,
            "x-credential": KEY,
            "x-deadline-ms": str(DEADLINE_MS),
        }
        started_at = read_clock()
        try:
            response = request(address, "POST", ONCE_PATH + "a", fields, body)
        except OSError:
            status, is_own = NO_ANSWER, True
        else:
            status = response.status if response.is_complete else NO_ANSWER
            is_own = status != 200 or response.body.startswith(attempt_id.encode())
        self.answers[attempt_id] = Answer(status, read_clock() - started_at, is_own)
        self._journal.record(attempt_id, f"answered {status}")


class Summary:
    """What the callers' answers and the upstreams' journal add up to."""

    def __init__(self, answers, journal):
        self._answers = answers
        self._journal = journal
        self.statuses = collections.Counter(a.status for a in answers.values())
        self.ran_twice = [i for i in sorted(answers) if journal.runs[i] > 1]
        self.refused = [
            attempt_id
            for attempt_id, answer in sorted(answers.items())
            if answer.status in NOT_RUN_STATUSES and journal.runs[attempt_id]
        ]
        self.mixed = [i for i, a in sorted(answers.items()) if not a.is_own]

    @property
    def is_sound(self):
        """Whether all requests were treated as they have to be."""
        wrong = self.ran_twice or self.refused or self.mixed
        return not wrong and not self._journal.garbled_count

    def print(self, title):
        """Print the table."""
        journal = self._journal
        served = [a.latency_s for a in self._answers.values() if a.status == 200]
        latencies = [a.latency_s for a in self._answers.values()]
        columns = {
            "run": title,
            "sent": len(self._answers),
            "answered": format_counts(self.statuses),
            "none, but ran": self._count_unanswered_runs(),
            "repeated": len(journal.repeats),
            "victims got": format_counts(self._count_victims()),
            "ran twice": len(self.ran_twice),
            "refused but ran": len(self.refused),
            "of another": len(self.mixed),
            "garbled": journal.garbled_count,
            "refused early": journal.early_refusal_count,
            "misdirected": journal.misdirected_count,
            "p50/p99 of 200, ms": format_percentiles(served),
            "p50/p99 of all, ms": format_percentiles(latencies),
        }
        print("| " + " | ".join(columns) + " |")
        print("| " + " | ".join("---" for _ in columns) + " |")
        print("| " + " | ".join(str(value) for value in columns.values()) + " |")

    def print_histories(self):
        """Print what happened to some of the requests that went wrong."""
        for attempt_id in (self.ran_twice + self.refused + self.mixed)[:MAX_HISTORIES]:
            print(f"\n{attempt_id}")
            for line in self._journal.list_events(attempt_id):
                print(f"  {line}")

    def _count_unanswered_runs(self):
        unanswered = (i for i, a in self._answers.items() if a.status == NO_ANSWER)
        return sum(1 for attempt_id in unanswered if self._journal.runs[attempt_id])

    def _count_victims(self):
        victim_ids = [repeat.victim_id for repeat in self._journal.repeats]
        return collections.Counter(
            "no next request" if victim_id is None else self._answers[victim_id].status
            for victim_id in victim_ids
        )


def format_counts(counts):
    """Return the counts by status as text, the lowest status first."""
    rows = sorted(counts.items(), key=lambda row: str(row[0]))
    return ", ".join(f"{count} x {status}" for status, count in rows) or "-"


def format_percentiles(latencies_s):
    """Return the median and the 99th percentile, in milliseconds."""
    if not latencies_s:
        return "-"
    ordered = sorted(latencies_s)
    indexes = [int(share * (len(ordered) - 1)) for share in (0.5, 0.99)]
    return "/".join(f"{ordered[index] * 1000:.0f}" for index in indexes)


def parse_options():
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--kind", choices=list(Kind), type=Kind, default=Kind.LATE)
    parser.add_argument("--rate", type=float, default=480.0, help="requests a second")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--instances", type=int, default=2)
    parser.add_argument(
        "--long-bodies",
        action="store_true",
        help="1 in 10 bodies has 100 KB; upstreams refuse some before reading them",
    )
    parser.add_argument(
        "--misdirected",
        action="store_true",
        help="upstreams answer 2 in 100 requests with 421",
    )
    return parser.parse_args()


def start_upstreams(deployment, journal, options, generator):
    """Start the upstreams and list them in the store."""
    upstreams = []
    for number in range(UPSTREAM_COUNT):
        kind = options.kind if number < FAULTY_COUNT else Kind.NOTHING
        faults = Faults(kind, options.misdirected)
        upstream = RepeatingUpstream(f"i-{number}", faults, journal, generator)
        deployment.list_upstream(upstream.name, upstream.address, SLOTS)
        upstreams.append(upstream)
    return upstreams


def format_title(options):
    """Return the options that tell runs apart."""
    parts = [f"{options.kind}, {options.rate:g}/s, seed {options.seed}"]
    if options.long_bodies:
        parts.append("long bodies")
    if options.misdirected:
        parts.append("misdirected")
    return ", ".join(parts)


def main():
    """Run the load and return the exit code."""
    options = parse_options()
    generator = random.Random(options.seed)
    journal = Journal(read_clock)
    with Deployment(options.instances) as deployment:
        start_upstreams(deployment, journal, options, generator)
        try:
            deployment.start()
        except (TimeoutError, OSError) as error:
            print(f"not possible: {error}", file=sys.stderr)
            return 2
        load = Load(deployment, journal, options, generator)
        load.run()
        eventlet.sleep(SETTLE_S)
        ended = [i.name for i in deployment.instances if i.process.poll() is not None]
    summary = Summary(load.answers, journal)
    summary.print(format_title(options))
    summary.print_histories()
    if ended:
        print(f"not possible: ended by themselves: {ended}", file=sys.stderr)
        return 2
    if summary.statuses[200] < MIN_SERVED_SHARE * len(load.answers):
        print("not possible: too few requests were served", file=sys.stderr)
        return 2
    return 0 if summary.is_sound else 1


if __name__ == "__main__":
    run_case(main)

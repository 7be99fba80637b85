"""Prompts of many parts: the memory of the entry processes."""

import os
import pathlib
import random
import sys
import time

import eventlet

from review.deployment_2 import (
    Deployment,
    KeptClient,
    MemoryWatch,
    Record,
    exchange,
    make_request,
    parse_status,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB = 300
"""Of an edge machine of the small site."""
LOAD_S = 60.0
MAX_HEADER_BYTES = 16384
PARTS = 2300
"""So many parts of a token fill 14 KB of the 16 KB that a head may have."""
PART_NAMES = [f"{number:03x}" for number in range(4096)]
PAUSE_S = 1.0
"""One such request a second at each machine."""
KEPT_CLIENTS = 8
"""Ordinary clients at each machine that keep their connection."""
MAX_LOST = 3


def make_prefix(generator):
    """Return a prompt's parts: PARTS tokens in as many parts, or in three."""
    if TROUBLE:
        return ",".join(f"{p}:1" for p in generator.sample(PART_NAMES, PARTS))
    first, second, own = generator.sample(PART_NAMES, 3)
    return f"{first}:1000,{second}:1000,{own}:{PARTS - 2000}"


def send_prompts(record, entry, until, counts):
    """Send one request after the other, each with a prompt of its own."""
    generator = random.Random(entry.name)
    number = 0
    while time.monotonic() < until:
        number += 1
        request = make_request(
            "/match/q",
            f"p-{entry.name}-{number}",
            method="POST",
            body=b"q" * 800,
            x_model="*",
            x_token_counts=f"{PARTS},24",
            x_prompt_prefix=make_prefix(generator),
            x_deadline_ms="20000",
        )
        assert request.index(b"\r\n\r\n") < MAX_HEADER_BYTES
        begun_at = time.monotonic()
        answer = exchange(entry.caller_address, request, 20.0)
        status = parse_status(answer)
        is_whole = status == 200 and answer.endswith(b"0\r\n\r\n")
        counts[(status, is_whole)] = counts.get((status, is_whole), 0) + 1
        record.write(
            f"{entry.name} prompt {number}: {len(request)} bytes, status {status}, "
            f"{'whole' if is_whole else 'not whole'}, "
            f"{time.monotonic() - begun_at:.2f} s, "
            f"{entry.measure_private_mb():.1f} MB"
        )
        eventlet.sleep(max(0.0, PAUSE_S - (time.monotonic() - begun_at)))


def send_stream(record, entry, number, counts):
    """Send one ordinary stream of some seconds."""
    attempt_id = f"s-{entry.name}-{number}"
    request = make_request(
        "/match/q",
        attempt_id,
        method="POST",
        body=b"q" * 800,
        x_model="*",
        x_token_counts="628,290",
        x_prompt_prefix="aa01:100,bb02:98,cc03:430",
        x_deadline_ms="20000",
    )
    answer = exchange(entry.caller_address, request, 20.0)
    status = parse_status(answer)
    is_whole = status == 200 and answer.endswith(b"0\r\n\r\n")
    if status == 200 and not is_whole:
        counts["cut"] = counts.get("cut", 0) + 1
        record.write(f"ordinary stream {attempt_id}: cut off after {len(answer)} bytes")
    counts[status] = counts.get(status, 0) + 1


def send_streams(record, entry, until, counts):
    """Send an ordinary stream each half second."""
    number = 0
    while time.monotonic() < until:
        number += 1
        eventlet.spawn_n(send_stream, record, entry, number, counts)
        eventlet.sleep(0.5)


def main():
    """Return 3 if the rule was broken, 0 if it held."""
    folder = pathlib.Path(__file__).parent
    record = Record(folder / "record.txt")
    deployment = Deployment(record, MEMORY_MB)
    try:
        deployment.add_servers(engines=6, plain=4)
        entries = [deployment.add_entry(number) for number in (1, 2)]
        record.write(f"started, trouble: {TROUBLE}")
        watch = MemoryWatch(record, entries, MEMORY_MB)
        until = time.monotonic() + LOAD_S
        prompts, streams = {}, {}
        threads = [
            eventlet.spawn(send_prompts, record, e, until, prompts) for e in entries
        ]
        threads += [
            eventlet.spawn(send_streams, record, e, until, streams) for e in entries
        ]
        kept = [
            KeptClient(record, deployment, entry, number)
            for entry in entries
            for number in range(KEPT_CLIENTS)
        ]
        threads += [eventlet.spawn(client.run, until) for client in kept]
        for thread in threads:
            thread.wait()
        eventlet.sleep(4.0)
        watch.close()
        ends = {name: len(times) for name, times in watch.ends.items()}
        peaks = {name: round(size, 1) for name, size in watch.peaks.items()}
        record.write(f"requests with many parts by (status, whole): {prompts}")
        record.write(f"ordinary streams by status: {streams}")
        record.write(
            f"runs: {deployment.count_runs('p-')} {deployment.count_runs('s-')}"
        )
        record.write(f"peak MB of {MEMORY_MB}: {peaks}, ends of processes: {ends}")
        statuses = {}
        for client in kept:
            for status, count in client.statuses.items():
                statuses[status] = statuses.get(status, 0) + count
        lost = sum(len(client.lost) for client in kept)
        record.write(f"requests on kept connections by status: {statuses}")
        record.write(f"of these passed on and lost: {lost}, allowed: {MAX_LOST}")
        is_broken = lost > MAX_LOST
        record.write("BROKEN" if is_broken else "held")
        return 3 if is_broken else 0
    finally:
        deployment.close()


if __name__ == "__main__":
    sys.exit(main())

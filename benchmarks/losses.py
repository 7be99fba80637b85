"""Estimate of lost credit by cause, from the logs of instances.

``python -m benchmarks.losses FILE...`` reads log lines with one JSON object each; text
before the object is skipped, and so are lines without one. Without files it reads
standard input. Requests that never reached an instance are missing, and whether a
request was too hard for its model is inferred from the confidence that the model
reported.
"""

import argparse
import collections
import json
import statistics
import sys
from dataclasses import dataclass

from merlinnotch._placement.cascade import (
    INADEQUATE_ANSWER_VALUE,
    estimate_hard_probability,
)

LATE_PENALTY = 0.7
"""Share of its credit that a late answer loses; deployments credit it 0.1 to 0.3."""
MAX_WEIGHT = 4.0
"""Maximum weight of a request, relative to a mean request of its route."""
MIN_WEIGHT = 0.3
"""Weight of a request without tokens."""
WINDOW_S = 4.0
PAUSE_LOOKBACK_S = 0.5
"""How long before the start of a pause the prompt that caused it may be sent."""
MAX_PRINTED_ROWS = 12


@dataclass(frozen=True)
class Request:
    """The outcome of a request, from a "request ended" log line.

    Times are in seconds on the instance's clock. *delay_kind* says which latency goal
    was missed, or is None. *size* is the input tokens plus ten times the output tokens.
    """

    route: str
    zone: str
    ended_at: float
    arrived_at: float
    outcome: str
    detail: str
    delay_kind: str | None
    upstream: str | None
    model: str | None
    confidence: float | None
    size: int
    pause_s: float
    pause_ended_at: float | None
    reasons: tuple


@dataclass(frozen=True)
class Loss:
    """Credit that a request lost to one cause; a mean request has a credit of 1."""

    request: Request
    cause: str
    credit: float


def read_lines(files):
    """Yield the JSON objects in the lines of *files*; skip invalid ones."""
    for file in files:
        for line in file:
            start = line.find("{")
            if start < 0:
                continue
            try:
                yield json.loads(line[start:])
            except json.JSONDecodeError:
                continue


def parse_request(line):
    """Return the :class:`Request` of a "request ended" log line."""
    arrived_at = line["created"] - line["ms"] / 1000.0
    ended_ms = line.get("pause_ended_ms")
    return Request(
        route=line["route"],
        zone=line["zone"],
        ended_at=line["created"],
        arrived_at=arrived_at,
        outcome=line["outcome"],
        detail=line.get("detail", ""),
        delay_kind=line.get("late"),
        upstream=line["upstream"],
        model=line["model"],
        confidence=line["confidence"],
        size=line.get("tokens_in", 0) + 10 * line.get("tokens_out", 0),
        pause_s=line["longest_pause_ms"] / 1000.0,
        pause_ended_at=None if ended_ms is None else arrived_at + ended_ms / 1000.0,
        reasons=tuple(line["reasons"]),
    )


def find_larger_models(lines):
    """Return the models that requests were escalated to."""
    return {
        record["next_model"]
        for record in lines
        if record["message"] == "escalating to larger model"
    }


def compute_losses(requests, larger_models):
    """Return a list of :class:`Loss`, and the attainable credit by route."""
    sizes = collections.defaultdict(list)
    for request in requests:
        sizes[request.route].append(request.size)
    means = {
        route: statistics.mean(route_sizes) for route, route_sizes in sizes.items()
    }
    attainable_credit = collections.Counter()
    losses = []
    for request in requests:
        if request.outcome == "caller left":
            continue
        weight = _compute_weight(request.size, means[request.route])
        attainable_credit[request.route] += weight
        losses += _compute_request_losses(request, weight, larger_models)
    return losses, attainable_credit


def _compute_weight(size, mean):
    if not mean:
        return 1.0
    return min(MAX_WEIGHT, MIN_WEIGHT + (1 - MIN_WEIGHT) * size / mean)


def _compute_request_losses(request, weight, larger_models):
    if request.outcome != "answered":
        return [Loss(request, f"{request.outcome}: {request.detail}"[:60], weight)]
    losses = []
    if request.delay_kind is not None:
        losses.append(
            Loss(request, f"late by {request.delay_kind}", weight * LATE_PENALTY)
        )
        weight *= 1 - LATE_PENALTY
    if request.confidence is not None and request.model not in larger_models:
        lost_credit = (
            weight
            * (1 - INADEQUATE_ANSWER_VALUE)
            * estimate_hard_probability(request.confidence)
        )
        if lost_credit:
            losses.append(Loss(request, "model too small", lost_credit))
    return losses


def attribute_stalls(requests, prompts):
    """Return (prompt, stalled requests) pairs, most requests first.

    A stream that paused too long is attributed to the longest prompt that its engine
    received shortly before or during the pause; the prompt is None if there is none.
    """
    stalled = collections.defaultdict(list)
    for request in requests:
        if request.delay_kind != "pause" or request.pause_ended_at is None:
            continue
        sent_after = request.pause_ended_at - request.pause_s - PAUSE_LOOKBACK_S
        candidates = [
            p
            for p in prompts
            if p["upstream"] == request.upstream
            and sent_after <= p["created"] <= request.pause_ended_at
        ]
        longest_prompt = max(candidates, key=lambda p: p["reading_ms"], default=None)
        stalled[longest_prompt["request"] if longest_prompt else None].append(request)
    prompts_by_id = {p["request"]: p for p in prompts}
    stalls = [
        (prompts_by_id.get(prompt_id), streams)
        for prompt_id, streams in stalled.items()
    ]
    return sorted(stalls, key=lambda row: -len(row[1]))


def print_losses(losses, attainable_credit, route_labels):
    """Print the lost share of each route's credit by cause."""
    credit_by_cause = collections.Counter()
    for loss in losses:
        credit_by_cause[loss.request.route, loss.cause] += loss.credit
    print("lost credit as a share of the route's attainable credit:")
    for (route, cause), credit in credit_by_cause.most_common():
        if credit / attainable_credit[route] >= 0.002:
            print(
                f"  {route_labels[route]:34} "
                f"{credit / attainable_credit[route]:7.3f}  {cause}"
            )


def print_losses_by_window(losses):
    """Print the lost credit by time window and by zone."""
    if not losses:
        return
    first_ended_at = min(loss.request.ended_at for loss in losses)
    windows = collections.Counter()
    zones = collections.Counter()
    for loss in losses:
        window = int((loss.request.ended_at - first_ended_at) / WINDOW_S)
        windows[window, loss.cause] += loss.credit
        zones[loss.request.zone] += loss.credit
    print(f"largest losses per {WINDOW_S:.0f} s (a mean request has a credit of 1):")
    for (window, cause), credit in windows.most_common(MAX_PRINTED_ROWS):
        print(f"  {window * WINDOW_S:6.0f} s {credit:7.1f}  {cause}")
    print("by zone:", ", ".join(f"{z} {c:.1f}" for z, c in zones.most_common()))


def print_stalls(stalls):
    """Print the prompts that stalled streams."""
    print("streams that paused too long, by the prompt that caused it:")
    for prompt, streams in stalls[:MAX_PRINTED_ROWS]:
        longest_pause_s = max(r.pause_s for r in streams)
        if prompt is None:
            print(
                f"  {len(streams):3} streams, {longest_pause_s:.1f} s at most: "
                "no long prompt"
            )
            continue
        print(
            f"  {len(streams):3} streams, {longest_pause_s:.1f} s at most: "
            f"{prompt['model']} prefill {prompt['reading_ms']} ms "
            f"after {prompt['queued_ms']} ms in queue, send {prompt['send']}"
        )


def print_escalations(lines, requests):
    """Print by route how many requests were escalated to a larger model."""
    escalations = collections.Counter(
        line["route"]
        for line in lines
        if line["message"] == "escalating to larger model"
    )
    totals = collections.Counter(r.route for r in requests if r.model)
    for route, total in totals.most_common():
        late_count = sum(1 for r in requests if r.route == route and r.delay_kind)
        print(
            f"{route}: {total} ended, {escalations[route]} asked again, "
            f"{late_count} late"
        )


def main():
    """Print all tables for the given files."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("files", nargs="*", type=argparse.FileType())
    files = parser.parse_args().files or [sys.stdin]
    lines = [line for line in read_lines(files) if "message" in line]
    end_records = [
        record
        for record in lines
        if record["message"] == "request ended" and "route" in record
    ]
    requests = [parse_request(line) for line in end_records]
    larger_models = find_larger_models(lines)
    losses, attainable_credit = compute_losses(requests, larger_models)
    counts = collections.Counter(r.route for r in requests)
    route_labels = {route: f"{route} ({count})" for route, count in counts.items()}
    print_losses(losses, attainable_credit, route_labels)
    print_losses_by_window(losses)
    prompts = [record for record in lines if record["message"] == "long prompt sent"]
    print_stalls(attribute_stalls(requests, prompts))
    print_escalations(lines, requests)


if __name__ == "__main__":
    main()

"""Running callers against a stack, and reading processes' costs."""

import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import time

import urllib3

from benchmarks.plan import CallerPlan, Sample

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def start_callers(folder, plans):
    """Start a process for each plan; return them with their result files."""
    started = []
    begin = time.time() + 1.0
    for number, plan in enumerate(plans):
        plan.start_at = begin
        path = pathlib.Path(folder) / f"plan-{time.monotonic_ns()}-{number}.json"
        path.write_text(json.dumps(dataclasses.asdict(plan)))
        results = path.with_suffix(".results")
        command = [sys.executable, "-W", "ignore", "-m", "benchmarks.caller"]
        process = subprocess.Popen([*command, str(path), str(results)])
        started.append((process, results))
    return started


def gather_samples(started):
    """Wait for callers; return all their samples."""
    samples = []
    for process, results in started:
        if process.wait() != 0:
            raise RuntimeError("a process of callers failed")
        samples += [Sample(**row) for row in json.loads(results.read_text())]
    return samples


def run_callers(folder, plans):
    """Run plans to their end and return the samples."""
    return gather_samples(start_callers(folder, plans))


def split_plan(plan, parts):
    """Return *parts* plans that together make one."""
    return [
        dataclasses.replace(
            plan,
            rate=plan.rate / parts,
            seed=plan.seed * 100 + part,
            closed=plan.closed // parts,
        )
        for part in range(parts)
    ]


def read_cpu_s(pid):
    """Return the processor seconds that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_resident_mb(pid):
    """Return a process's resident memory in MB."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES / 1e6


def read_metrics(address):
    """Return the samples of an entry's metrics, by name with labels."""
    data = urllib3.request("GET", f"http://{address}/metrics", timeout=5.0).data
    rows = [line.rsplit(" ", 1) for line in data.decode().splitlines()]
    return {row[0]: float(row[1]) for row in rows if not row[0].startswith("#")}


def sum_metric(metrics, name):
    """Return the sum over all labels of a metric."""
    return sum(v for key, v in metrics.items() if key.partition("{")[0] == name)


__all__ = [
    "CallerPlan",
    "gather_samples",
    "read_cpu_s",
    "read_metrics",
    "read_resident_mb",
    "run_callers",
    "split_plan",
    "start_callers",
    "sum_metric",
]

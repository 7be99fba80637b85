"""Processes of simulated callers, and resource use of the processes of a stack."""

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
    """Start a process for each plan; return (process, result file) pairs.

    All of them start to send at the same time, one second later.
    """
    running = []
    start_at = time.time() + 1.0
    for number, plan in enumerate(plans):
        plan.start_at = start_at
        path = pathlib.Path(folder) / f"plan-{time.monotonic_ns()}-{number}.json"
        path.write_text(json.dumps(dataclasses.asdict(plan)))
        results = path.with_suffix(".results")
        command = [sys.executable, "-W", "ignore", "-m", "benchmarks.caller"]
        process = subprocess.Popen([*command, str(path), str(results)])
        running.append((process, results))
    return running


def collect_samples(running):
    """Wait for processes of callers; return all their samples.

    Raise :exc:`RuntimeError` if one of them failed.
    """
    samples = []
    for process, results in running:
        if process.wait() != 0:
            raise RuntimeError("a process of simulated callers failed")
        samples += [Sample(**sample) for sample in json.loads(results.read_text())]
    return samples


def run_callers(folder, plans):
    """Run a process for each plan; return all samples."""
    return collect_samples(start_callers(folder, plans))


def split_plan(plan, count):
    """Return *count* plans that together have the load of *plan*."""
    return [
        dataclasses.replace(
            plan,
            rate=plan.rate / count,
            seed=plan.seed * 100 + part,
            closed=plan.closed // count,
        )
        for part in range(count)
    ]


def read_cpu_s(pid):
    """Return the CPU seconds that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_resident_mb(pid):
    """Return a process's resident memory in MB."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES / 1e6


def read_metrics(address):
    """Return the values of an entry's metrics, by name with labels."""
    data = urllib3.request("GET", f"http://{address}/metrics", timeout=5.0).data
    rows = [line.rsplit(" ", 1) for line in data.decode().splitlines()]
    return {row[0]: float(row[1]) for row in rows if not row[0].startswith("#")}


def sum_metric(metrics, name):
    """Return the sum of a metric over all its labels."""
    return sum(value for key, value in metrics.items() if key.partition("{")[0] == name)


__all__ = [
    "CallerPlan",
    "collect_samples",
    "read_cpu_s",
    "read_metrics",
    "read_resident_mb",
    "run_callers",
    "split_plan",
    "start_callers",
    "sum_metric",
]

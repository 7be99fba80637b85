"""Cost of the control plane against fleet size: ``python -m benchmarks.slopes``.

Prints the figures for docs/CAPACITY.md, and writes them as JSON to the file named by
the first argument, if any. Runs real processes on loopback for about 10 minutes.
"""

import base64
import json
import shutil
import statistics
import sys
import time
from dataclasses import asdict, dataclass

import numpy

from benchmarks import driver
from standins import http
from standins.layout import AUTHORITY, EngineSpec, Layout
from standins.stack import ROOT, Stack, wait_for

SETTLE_S = 25.0
MEASUREMENT_S = 12.0
CHANGE_COUNT = 5
STORE_CALL_KINDS = ("read", "write", "watch")


@dataclass
class ControlCost:
    """Mean control-plane cost of an idle node.

    *near* and *far* count the node's peers in its own zone and in others. *core* is the
    share of a core in use. Bytes, *reads*, *writes* and *watches* are per second; the
    latter three are calls to the store.
    """

    label: str
    nodes: int
    near: int
    far: int
    upstreams: int
    bytes_in: float
    bytes_out: float
    core: float
    resident_mb: float
    reads: float
    writes: float
    watches: float


def make_layout(nodes, zones):
    """Return a layout of *nodes* entries spread over *zones* zones."""
    zone_names = [f"zone-{n}" for n in range(zones)]
    return Layout(
        example=AUTHORITY.example,
        service_pool=AUTHORITY.service_pool,
        versions=AUTHORITY.versions,
        qualities=AUTHORITY.qualities,
        entry_zones=tuple(zone_names[n * zones // nodes] for n in range(nodes)),
        engines=(EngineSpec("engine-0", zone_names[0]),),
        service_zones=(zone_names[0],),
        drain_s=0.1,
    )


def measure_idle(stack, label, zones, upstreams=0):
    """Return the mean :class:`ControlCost` of a node without requests."""
    time.sleep(SETTLE_S)
    before = [_read_usage(entry) for entry in stack.entries]
    started_at = time.monotonic()
    time.sleep(MEASUREMENT_S)
    after = [_read_usage(entry) for entry in stack.entries]
    elapsed_s = time.monotonic() - started_at
    rates = [
        {key: (new[key] - old[key]) / elapsed_s for key in new}
        for old, new in zip(before, after, strict=True)
    ]
    mean = {key: statistics.mean(rate[key] for rate in rates) for key in rates[0]}
    nodes = len(stack.entries)
    resident_mb = [driver.read_resident_mb(e.process.pid) for e in stack.entries]
    zone_peers = nodes // zones - 1
    return ControlCost(
        label,
        nodes,
        zone_peers,
        nodes - zone_peers - 1,
        upstreams,
        mean["in"],
        mean["out"],
        mean["core"],
        statistics.mean(resident_mb),
        mean["read"],
        mean["write"],
        mean["watch"],
    )


def measure_propagation(stack, change_count=CHANGE_COUNT):
    """Return the seconds until each change was in force on all entries."""
    propagation_times_s = []
    for number in range(change_count):
        limit = 300 + number
        folder = stack.folder / f"change-{time.monotonic_ns()}"
        shutil.copytree(ROOT / stack.layout.example, folder)
        text = (folder / "tuning.toml").read_text()
        (folder / "tuning.toml").write_text(
            text.replace("queue_limit = 256", f"queue_limit = {limit}")
        )
        output = json.loads(stack.apply(folder, "--json"))
        propagation_times_s.append(_wait_until_applied(stack, output["revision"]))
    return propagation_times_s


def measure_rejoin(stack):
    """Return figures on the restart of a killed entry.

    They are the seconds until it is ready, the seconds until it knows all members, and
    the bytes that it received.
    """
    entry = stack.entries[-1]
    entry.process.kill()
    started_at = time.monotonic()
    stack.start_entry(entry)
    stack.wait_until_ready(entry)
    ready_s = time.monotonic() - started_at
    wait_for(
        lambda: _read_metric(entry, "merlinnotch_live_members") == len(stack.entries),
        "all members known",
    )
    return ready_s, time.monotonic() - started_at, _read_usage(entry)["in"]


def measure_peers():
    """Yield cost, propagation times and restart figures by number of peers."""
    for nodes, zones in ((8, 4), (16, 4), (32, 4), (64, 4), (32, 1), (32, 8)):
        stack = Stack(make_layout(nodes, zones)).start()
        try:
            cost = measure_idle(stack, f"{nodes} nodes, {zones} zones", zones)
            propagation_times_s = measure_propagation(stack)
            rejoin = measure_rejoin(stack)
        finally:
            stack.stop()
        yield cost, propagation_times_s, rejoin


def measure_upstreams():
    """Yield the cost by number of upstreams in a zone, all of them busy."""
    for count in (0, 100, 200):
        stack = Stack(make_layout(4, 1)).start()
        try:
            if count:
                stack.start_load_reporters("zone-0", count)
            yield measure_idle(stack, f"{count} upstreams", 1, count)
        finally:
            stack.stop()


def measure_configuration():
    """Yield figures by size of the configuration.

    They are the number of teams added, the size of the document in bytes, the median
    CPU seconds per change, and the resident memory in MB.
    """
    for teams in (0, 200, 1000):
        stack = Stack(make_layout(4, 2)).start()
        try:
            yield _measure_configuration(stack, teams)
        finally:
            stack.stop()


def _measure_configuration(stack, teams):
    folder = stack.folder / "large"
    shutil.copytree(ROOT / stack.layout.example, folder)
    team_tables = [
        f'[teams.extra-{n}]\nkey_sha256 = "{n:064x}"\nallow = ["swift"]\n'
        for n in range(teams)
    ]
    (folder / "extra.toml").write_text("\n".join(team_tables))
    time.sleep(2.0)
    usage = []
    for number in range(4):
        text = f"[tuning]\nqueue_limit = {400 + number}\n"
        (folder / "tuning.toml").write_text(text)
        before = _read_usage(stack.entries[0])["core"]
        started_at = time.monotonic()
        output = json.loads(stack.apply(folder, "--json"))
        wait_for(
            lambda n=output["revision"]: all(
                _read_metric(e, "merlinnotch_revision") == n for e in stack.entries
            ),
            "in force",
        )
        elapsed_s = time.monotonic() - started_at
        time.sleep(1.0)
        after = _read_usage(stack.entries[0])["core"]
        usage.append((after - before, elapsed_s))
    size = len(json.dumps(_read_document(stack)))
    resident_mb = driver.read_resident_mb(stack.entries[0].process.pid)
    cpu_s = statistics.median(row[0] for row in usage[1:])
    return teams, size, cpu_s, resident_mb


def _read_document(stack):
    rows = http.get(stack.kv, "/standin/dump")["rows"]
    return json.loads(base64.b64decode(rows["merlinnotch/live/revision"]))


def _wait_until_applied(stack, revision):
    """Return the seconds from the operator's write until the last entry applied it."""
    applied_at = _read_document(stack)["applied_at"]

    def is_applied_everywhere():
        return all(
            _read_metric(entry, "merlinnotch_revision") >= revision
            for entry in stack.entries
        )

    wait_for(is_applied_everywhere, f"revision {revision}")
    latest = max(
        _read_metric(e, "merlinnotch_revision_taken_at") for e in stack.entries
    )
    return latest - applied_at


def _read_usage(entry):
    metrics = driver.read_metrics(entry.metrics)
    usage = {
        kind: metrics.get(f'merlinnotch_store_calls_total{{kind="{kind}"}}', 0.0)
        for kind in STORE_CALL_KINDS
    }
    for direction in ("in", "out"):
        name = f'merlinnotch_control_bytes_total{{direction="{direction}"}}'
        usage[direction] = metrics.get(name, 0.0)
    usage["core"] = driver.read_cpu_s(entry.process.pid)
    return usage


def _read_metric(entry, name):
    return driver.read_metrics(entry.metrics).get(name, 0.0)


def fit_linear(rows, values):
    """Return least-squares coefficients, and the largest absolute residual."""
    matrix = numpy.array(rows, float)
    coefficients, *_ = numpy.linalg.lstsq(matrix, numpy.array(values), rcond=None)
    residual = numpy.abs(matrix @ coefficients - values).max()
    return [float(c) for c in coefficients], float(residual)


def main():
    """Measure, print and store all figures."""
    results = {"peers": [], "upstreams": [], "configuration": []}
    for cost, propagation_times_s, rejoin in measure_peers():
        row = {**asdict(cost), "in_force_s": propagation_times_s, "rejoin": rejoin}
        results["peers"].append(row)
        print(json.dumps(row), flush=True)
    for cost in measure_upstreams():
        results["upstreams"].append(asdict(cost))
        print(json.dumps(asdict(cost)), flush=True)
    for row in measure_configuration():
        results["configuration"].append(row)
        print(json.dumps(row), flush=True)
    peers = results["peers"]
    predictors = [(1, row["near"], row["far"]) for row in peers]
    for name in ("bytes_in", "bytes_out", "core", "resident_mb"):
        results[f"fit_{name}"] = fit_linear(predictors, [row[name] for row in peers])
        print(name, "= base, per near peer, per far peer:", results[f"fit_{name}"])
    upstreams = results["upstreams"]
    predictors = [(1, row["upstreams"]) for row in upstreams]
    for name in ("bytes_in", "bytes_out", "core", "resident_mb"):
        results[f"fit_upstreams_{name}"] = fit_linear(
            predictors, [r[name] for r in upstreams]
        )
        print(name, "= base, per upstream:", results[f"fit_upstreams_{name}"])
    if len(sys.argv) > 1:
        with open(sys.argv[1], "w") as file:
            json.dump(results, file, indent=1)


if __name__ == "__main__":
    main()

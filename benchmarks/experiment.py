"""Load experiments: ``python -m benchmarks.experiment NAME ... [--out DIR]``.

Each experiment sends seeded open-loop arrivals to the real processes of a stack. It
measures its baselines in the same session, prints a line for each run, and writes
figures and plots to the output folder (``reports`` by default).
"""

import argparse
import dataclasses
import json
import pathlib
import shutil
import threading
import time

import matplotlib as mpl

from benchmarks import driver
from benchmarks.summary import format_summary, summarise
from standins import http
from standins.layout import AUTHORITY, ZONES, EngineSpec
from standins.stack import ROOT, Stack, wait_for

mpl.use("Agg")

from matplotlib import pyplot  # noqa: E402

SEED = 20261202
CALLER_PROCESSES = 3
ENGINES = 6
SLOTS = 8
FIRST_TOKEN_MS = 30.0
TOKEN_MS = 8.0
MEAN_TOKENS = 20
TEAMS = {
    "marketplace-app": 8,
    "supermarket-feeds": 6,
    "claims-desk": 4,
    "school-breakfast": 2,
    "shelter-kitchens": 2,
    "donor-relations": 1,
}
KINDS = {"listing-assistance": 3, "claim-matching": 5, "donor-summary": 2}
GUARD_OFF = "guard_false_alarm = 1e-300\n"

LAYOUT = dataclasses.replace(
    AUTHORITY,
    engines=tuple(
        EngineSpec(f"engine-{n}", ZONES[n % 4], SLOTS, FIRST_TOKEN_MS, TOKEN_MS)
        for n in range(ENGINES)
    ),
)
MEAN_RUN_S = (FIRST_TOKEN_MS + TOKEN_MS * (MEAN_TOKENS - 1)) / 1000
CAPACITY = ENGINES * SLOTS / MEAN_RUN_S
"""Requests per second that the engines can serve with one model run each."""


class Bench:
    """A stack with simulated callers, and the recorded results."""

    def __init__(self, out, layout=LAYOUT):
        self.out = out
        self.stack = Stack(layout)
        self.results = {}

    def __enter__(self):
        self.stack.start()
        return self

    def __exit__(self, *exc_info):
        self.stack.stop()

    def make_plan(self, rate, duration_s, **options):
        """Return a plan with all teams and kinds; *options* override its fields."""
        plan = driver.CallerPlan(
            entries=[entry.url for entry in self.stack.entries],
            keys=self.stack.read_team_keys(),
            teams=TEAMS,
            kinds=KINDS,
            rate=rate,
            duration_s=duration_s,
            seed=SEED,
        )
        return dataclasses.replace(plan, **options)

    def run(self, name, plan, action=None):
        """Run *plan* and call *action* meanwhile; return samples and summary."""
        running = driver.start_callers(
            self.stack.folder, driver.split_plan(plan, CALLER_PROCESSES)
        )
        if action is not None:
            thread = threading.Thread(target=action)
            thread.start()
            thread.join()
        samples = driver.collect_samples(running)
        summary = summarise(samples, plan.duration_s)
        self.results[name] = dataclasses.asdict(summary)
        print(format_summary(name, summary), flush=True)
        return samples, summary

    def apply_edited(self, name, *changes):
        """Apply the example configuration after (file, old, new) replacements."""
        folder = self.stack.folder / name
        shutil.copytree(ROOT / self.stack.layout.example, folder, dirs_exist_ok=True)
        for file, old, new in changes:
            text = (folder / file).read_text()
            assert old in text, old
            (folder / file).write_text(text.replace(old, new))
        self.stack.apply(folder, "--wait", "10")

    def read_cost(self):
        """Return the total cost billed, and the number of requests billed."""
        _, output = self.stack.run_command("bills", "--json")
        rows = json.loads(output)
        cost = sum(row["cost_micros"] for row in rows) / 1e6
        return cost, sum(row["requests"] for row in rows)

    def measure_cost_per_answer(self, before, answered):
        """Return the cost per answer since *before*, once all answers are billed."""
        wait_for(lambda: self.read_cost()[1] - before[1] >= answered, "bills", 60)
        cost, count = self.read_cost()
        return (cost - before[0]) / (count - before[1])


def overhead(bench):
    """Added latency over direct calls to the engines, at half load."""
    rate = CAPACITY / 2
    engines = [f"http://{a}" for a in bench.stack.engines.values()]
    options = {"kinds": {"swift": 1}, "teams": {"claims-desk": 1}, "retry": False}
    for streamed in (0.0, 1.0):
        mode = "streamed" if streamed else "whole"
        direct = bench.make_plan(rate, 15, streamed=1.0, **options)
        direct = dataclasses.replace(direct, entries=engines, direct="swift@v3")
        via_entry = bench.make_plan(rate, 15, streamed=streamed, **options)
        _, direct_result = bench.run(f"direct ({mode})", direct)
        _, entry_result = bench.run(f"through an entry ({mode})", via_entry)
        print(
            f"  added p50 {entry_result.p50 - direct_result.p50:.1f} ms, "
            f"p95 {entry_result.p95 - direct_result.p95:.1f} ms, "
            f"p99 {entry_result.p99 - direct_result.p99:.1f} ms; first token p50 "
            f"{entry_result.first_p50 - direct_result.first_p50:.1f} ms"
        )


def cost(bench):
    """Cost per answer and quality, compared with a fixed choice of model."""
    both_models = 'models = ["swift", "deep"]'
    policies = {
        "always large": [("kinds.toml", both_models, 'models = ["deep"]')],
        "always cheap": [("kinds.toml", both_models, 'models = ["swift"]')],
        "planner": [],
    }
    costs = {}
    for name, changes in policies.items():
        bench.apply_edited(name.replace(" ", "-"), *changes)
        before = bench.read_cost()
        plan = bench.make_plan(CAPACITY * 0.4, 25)
        samples, summary = bench.run(name, plan)
        costs[name] = bench.measure_cost_per_answer(before, summary.answered)
        quality_by_kind = _compute_quality_by_kind(samples)
        bench.results[name]["cost"] = costs[name]
        bench.results[name]["quality_by_kind"] = quality_by_kind
        print(
            f"  cost per answer {costs[name]:.5f}; "
            f"mean quality by kind {quality_by_kind}"
        )
    ratio = costs["planner"] / costs["always large"]
    bench.results["ratio"] = ratio
    print(f"  planner / always large: {ratio:.2f}")


def overload(bench):
    """Goodput and shares of teams at twice the capacity."""
    plan = bench.make_plan(
        CAPACITY * 0.9, 12, kinds={"swift": 1}, retry=False, deadline_ms=4000
    )
    _, baseline = bench.run("0.9 of capacity", plan)
    plan = bench.make_plan(
        CAPACITY * 2, 20, kinds={"swift": 1}, patience_s=8.0, deadline_ms=2000
    )
    samples, overloaded = bench.run("2.0 of capacity", plan)
    answered = [s for s in samples if s.status == 200]
    in_time = [s for s in answered if s.start + s.latency <= plan.duration_s]
    goodput = len(in_time) / plan.duration_s
    bench.results["goodput_share"] = goodput / CAPACITY
    bench.results["capacity"] = CAPACITY
    print(f"  goodput {goodput:.1f}/s of a capacity of {CAPACITY:.1f}/s")
    print(
        f"  (at 0.9 of capacity {baseline.goodput:.1f}/s); tries {overloaded.tries:.2f}"
    )
    for team in TEAMS:
        team_samples = [s for s in samples if s.team == team]
        team_answered = [s for s in team_samples if s.status == 200]
        print(f"  {team:20} {len(team_answered)}/{len(team_samples)}")


def lost_half(bench):
    """Goodput while half of the engines freeze for 20 s and callers retry."""
    plan = bench.make_plan(
        CAPACITY * 0.8, 60, kinds={"swift": 1}, patience_s=20.0, deadline_ms=4000
    )
    frozen_engines = list(bench.stack.engines)[: ENGINES // 2]

    def suspend():
        time.sleep(16)
        for name in frozen_engines:
            bench.stack.processes[name].suspend()
        time.sleep(20)
        for name in frozen_engines:
            bench.stack.processes[name].resume()

    samples, _ = bench.run("half lost from 15 to 35 s", plan, suspend)
    series = _count_by_second(samples, plan.duration_s + 5)
    bench.results["goodput_by_second"] = series
    before = sum(series[5:15]) / 10
    during = sum(series[20:35]) / 15
    recovered_at = next((s for s in range(35, 60) if series[s] >= 0.9 * before), None)
    print(f"  goodput before {before:.1f}/s, during {during:.1f}/s")
    print(
        f"  at 0.9 of before again "
        f"{None if recovered_at is None else recovered_at - 35} s after"
    )
    _plot(bench, "lost_half", "answers a second", series)


def frozen(bench):
    """Ratio of p95 latency with one frozen engine to that without."""
    plan = bench.make_plan(CAPACITY * 0.5, 20, kinds={"swift": 1})
    _, baseline = bench.run("all engines well", plan)
    name = next(iter(bench.stack.engines))

    def suspend():
        time.sleep(3)
        bench.stack.processes[name].suspend()

    plan = dataclasses.replace(plan, seed=SEED + 1)
    _, one_suspended = bench.run("one frozen after 2 s", plan, suspend)
    bench.stack.processes[name].resume()
    bench.results["p95_ratio"] = one_suspended.p95 / baseline.p95
    print(
        f"  p95 ratio {one_suspended.p95 / baseline.p95:.2f}, "
        f"p99 ratio {one_suspended.p99 / baseline.p99:.2f}"
    )


def bad_version(bench):
    """Exposure to a version that degrades in rollout, with and without guard."""
    share_edit = ("models.toml", "share = 0.1", "share = 0.3")
    for mode, guarded in (("quality", True), ("quality", False), ("errors", True)):
        _run_bad_version(bench, share_edit, mode, guarded)


def _run_bad_version(bench, share_edit, mode, guarded):
    cleared_revision = _read_revision(bench) + 1
    guard_edits = (
        () if guarded else (("tuning.toml", "[tuning]\n", f"[tuning]\n{GUARD_OFF}"),)
    )
    share_and_clear_edit = (
        *share_edit[:2],
        f"{share_edit[2]}\ncleared_revision = {cleared_revision}",
    )
    bench.apply_edited(f"{mode}-{guarded}", share_and_clear_edit, *guard_edits)
    name = f"{mode}, guard {'on' if guarded else 'off'}"
    degraded_at = []

    def degrade_version():
        time.sleep(13)
        bad = {"swift@v4": {"mode": mode, "drop": 0.2}}
        for address in bench.stack.engines.values():
            http.put(address, "/standin/switches", {"bad": bad})
        degraded_at.append(time.time())

    plan = bench.make_plan(CAPACITY * 0.4, 36, kinds={"swift": 1}, retry=True)
    runs_before = len(_list_degraded_runs(bench, 0))
    samples, _ = bench.run(name, plan, degrade_version)
    runs = _list_degraded_runs(bench, degraded_at[0])
    exposed_samples = [s for s in samples if s.version == "swift@v4" and s.start > 12.5]
    last_run_s = (
        max((run["started_at"] for run in runs), default=degraded_at[0])
        - degraded_at[0]
    )
    bench.results[name] |= {
        "runs": len(runs),
        "answers": len(exposed_samples),
        "last_s": last_run_s,
        "runs_before": runs_before,
    }
    print(
        f"  after it degraded: {len(runs)} runs, {len(exposed_samples)} answers; "
        f"the last run started after {last_run_s:.1f} s"
    )
    for address in bench.stack.engines.values():
        http.put(address, "/standin/switches", {"bad": {}})


def _list_degraded_runs(bench, since):
    states = [http.get(a, "/standin/state") for a in bench.stack.engines.values()]
    return [
        run
        for state in states
        for run in state["runs"]
        if run["version"] == "swift@v4" and run["started_at"] > since
    ]


def _read_revision(bench):
    _, output = bench.stack.run_command("status", "--json")
    return json.loads(output)["revision"]


def _compute_quality_by_kind(samples):
    return {
        kind: round(summarise([s for s in samples if s.kind == kind], 1).quality, 3)
        for kind in KINDS
    }


def _count_by_second(samples, duration_s):
    counts = [0] * int(duration_s + 30)
    for sample in samples:
        if sample.status == 200:
            counts[int(sample.start + sample.latency)] += 1
    return counts


def _plot(bench, name, label, series):
    bench.out.mkdir(parents=True, exist_ok=True)
    figure, axes = pyplot.subplots(figsize=(8, 3))
    axes.plot(series)
    axes.set_xlabel("seconds")
    axes.set_ylabel(label)
    figure.tight_layout()
    figure.savefig(bench.out / f"{name}.png")
    pyplot.close(figure)


EXPERIMENTS = {
    experiment.__name__: experiment
    for experiment in (overhead, cost, overload, lost_half, frozen, bad_version)
}


def main():
    """Run the experiments named on the command line, or all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", choices=[*EXPERIMENTS, []])
    parser.add_argument("--out", type=pathlib.Path, default=pathlib.Path("reports"))
    options = parser.parse_args()
    options.out.mkdir(parents=True, exist_ok=True)
    for name in options.names or EXPERIMENTS:
        print(f"# {name}: {EXPERIMENTS[name].__doc__.splitlines()[0]}")
        with Bench(options.out) as bench:
            EXPERIMENTS[name](bench)
        path = options.out / f"{name}.json"
        path.write_text(json.dumps(bench.results, indent=1))


if __name__ == "__main__":
    main()

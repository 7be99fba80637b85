"""Mutation tests: scenarios have to fail without the mechanism that they cover.

For each ablation, ``python -m tests.ablate [TEXT]`` copies the tree, disables one
mechanism in the copy and runs one scenario there. Only ablations whose mechanism
contains TEXT are run. The exit code is 0 if every scenario failed. A run takes
minutes, so the test suite does not include it.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass

ROOT = pathlib.Path(__file__).resolve().parent.parent
COPIED_PATHS = ("src", "standins", "tests", "specs", "examples", "pyproject.toml")
SOURCE = "src/merlinnotch"


@dataclass(frozen=True)
class Ablation:
    """A mechanism, and the edit that disables it.

    *old* is source text that occurs once in *file*; *new* replaces it. *scenario* is
    the test in ``tests/scenarios`` that has to fail.
    """

    mechanism: str
    file: str
    old: str
    new: str
    scenario: str


ABLATIONS = (
    Ablation(
        "claims before runs",
        f"{SOURCE}/_upstreams/attempts.py",
        "if self._claimed or call.idempotent or not call.has_idempotency_key:",
        "if True:",
        "test_ledger.py::test_the_entry_is_killed_while_a_booking_runs",
    ),
    Ablation(
        "copies of bills on a peer",
        f"{SOURCE}/_bookkeeping/outbox.py",
        "if holder is not None:",
        "if False:",
        "test_ledger.py::test_an_entry_is_killed_before_it_posts_its_bills",
    ),
    Ablation(
        "deduplication of bills",
        "src/merlinnotch/_ledger/state.py",
        "billed = entry is not None and entry.status is RequestStatus.BILLED",
        "billed = False",
        "test_ledger.py::test_two_partitioned_zones_answer_the_same_request",
    ),
    Ablation(
        "outcome not-run only after a read of the ledger",
        f"{SOURCE}/_callers/deduplication.py",
        "if not self._state.ledger.is_unclaimed(call.key, wait_s):",
        "if False:",
        "test_ledger.py::test_a_retry_is_refused_while_the_first_attempt_runs",
    ),
    Ablation(
        "monotonic revisions",
        "src/merlinnotch/_config/revision_tracker.py",
        "if revision.number < self.number:",
        "if False:",
        "test_configuration.py::test_the_store_is_restored_to_an_older_state",
    ),
    Ablation(
        "timeout of store watches",
        "src/merlinnotch/_store/http.py",
        "WATCH_GRACE_S = 2.0",
        "WATCH_GRACE_S = 9000.0",
        "test_configuration.py::test_a_watch_of_the_store_hangs",
    ),
    Ablation(
        "gossip of revisions",
        f"{SOURCE}/_links/gossiper.py",
        "if reply.body:",
        "if False:",
        "test_configuration.py::test_a_zone_partitioned_from_the_store_gets_revisions_from_its_peers",
    ),
    Ablation(
        "freshness check of the revision",
        "src/merlinnotch/_config/revision_tracker.py",
        "return now - self.confirmed_at <= self.catalogue.tuning.fresh_for_s",
        "return True",
        "test_versions.py::test_a_zone_without_a_fresh_revision",
    ),
    Ablation(
        "refusal of sessions on withdrawn versions",
        "src/merlinnotch/_routing/versions.py",
        "if version is None or version.state is VersionState.WITHDRAWN:",
        "if version is None:",
        "test_versions.py::test_a_withdrawn_version_receives_no_new_requests",
    ),
    Ablation(
        "version pinning of sessions",
        "src/merlinnotch/_routing/planner.py",
        "pinned = session.get_pin(kind.models) if session else None",
        "pinned = None",
        "test_versions.py::test_a_draining_version_keeps_its_sessions_and_takes_no_new_ones",
    ),
    Ablation(
        "resumption of broken streams",
        f"{SOURCE}/_upstreams/client.py",
        "if position:",
        "if False:",
        "test_answers.py::test_a_broken_stream_is_resumed_on_the_same_version",
    ),
    Ablation(
        "time limits on silent engines",
        f"{SOURCE}/_upstreams/silence.py",
        "return min(limit_s, time_left_s) if self._is_retryable else time_left_s",
        "return time_left_s",
        "test_answers.py::test_an_engine_stops_sending_in_the_middle_of_its_responses",
    ),
    Ablation(
        "immediate use of shutdown reports of upstreams",
        f"{SOURCE}/_upstreams/loads.py",
        "if reply.status == LEAVING_STATUS:",
        "if False:",
        "test_leaving.py::test_an_upstream_that_is_shutting_down_gets_no_new_requests_while_it_is_listed",
    ),
    Ablation(
        "shutdown waits for requests in progress",
        f"{SOURCE}/_daemon/instance.py",
        "finished = _wait_until(self._has_ended_requests, deadline)",
        "finished = True",
        "test_leaving.py::test_an_entry_finishes_streams_and_serves_new_connections_after_sigterm",
    ),
    Ablation(
        "shutdown waits for requests that arrive",
        f"{SOURCE}/_daemon/instance.py",
        "finished = _wait_until(self._has_ended_requests, deadline)",
        "finished = True",
        "test_leaving.py::test_a_request_that_is_still_arriving_when_an_entry_stops_is_answered",
    ),
)


def fails_without_mechanism(ablation):
    """Return whether the scenario fails on a copy without the mechanism.

    Raises ValueError if the source text to replace does not occur exactly once.
    """
    with tempfile.TemporaryDirectory(prefix="merlinnotch-ablate-") as name:
        copy = pathlib.Path(name)
        for path in COPIED_PATHS:
            source = ROOT / path
            target = copy / path
            if source.is_dir():
                shutil.copytree(source, target)
            else:
                shutil.copy(source, target)
        mutated = copy / ablation.file
        text = mutated.read_text()
        if text.count(ablation.old) != 1:
            raise ValueError(
                f"{ablation.file} has to contain {ablation.old!r} exactly once"
            )
        mutated.write_text(text.replace(ablation.old, ablation.new))
        result = subprocess.run(
            [sys.executable, "-m", "pytest", f"tests/scenarios/{ablation.scenario}"],
            cwd=copy,
            env={**os.environ, "PYTHONPATH": f"{copy / 'src'}:{copy}"},
            capture_output=True,
            text=True,
            check=False,
        )
        return result.returncode == 1


def main():
    """Run the selected ablations; return the exit code."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else ""
    surviving = 0
    for ablation in ABLATIONS:
        if pattern in ablation.mechanism:
            failed = fails_without_mechanism(ablation)
            surviving += not failed
            verdict = "fails as expected" if failed else "PASSES UNEXPECTEDLY"
            scenario = ablation.scenario.partition("::")[2]
            print(f"{ablation.mechanism}: {scenario}: {verdict}", flush=True)
    return 1 if surviving else 0


if __name__ == "__main__":
    sys.exit(main())

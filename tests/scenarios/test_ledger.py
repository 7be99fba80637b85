"""Steps of the scenarios about the ledger."""

import collections
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from standins.stack import wait_for

scenarios("ledger.feature")

MAX_LOG_LINES = 40
"""Of each entry, the last ones."""


@then(parsers.parse('booking "{key}" has run at most once'))
def _check_at_most_one_run(world, key):
    assert world.count_service_runs(key) <= 1


@then(parsers.parse('booking "{key}" succeeds after retries'))
def _retry_booking(world, key):
    def retry():
        world.responses.append(world.send_booking(1, key))
        return world.responses[-1].status == 200

    try:
        wait_for(retry, "success of the booking")
    except TimeoutError:
        pytest.fail(describe_failed_booking(world, key))
    assert world.count_service_runs(key) == 1


def describe_failed_booking(world, key):
    """Return what all responses were, and the log lines of entries that name *key*."""
    answers = collections.Counter(
        (response.status, response.kind, response.outcome)
        for response in world.responses
    )
    lines = [f"{count} x {answer}" for answer, count in answers.items()]
    for path in sorted(world.stack.folder.glob("*.log")):
        log = path.read_text(errors="replace").splitlines()
        lines += [f"{path.name}: {line}" for line in log if key in line][
            -MAX_LOG_LINES:
        ]
    runs = world.count_service_runs(key)
    return "\n".join([f"booking {key} never succeeded, {runs} runs", *lines])


@when(parsers.parse("{count:d} bookings are sent through entry {entry:d}"))
def _send_bookings(world, count, entry):
    for number in range(count):
        world.responses.append(world.send_booking(entry, f"many-{number}"))


@then(parsers.parse("each of the {count:d} bookings has run once and succeeded"))
def _check_one_run_each(world, count):
    assert [response.status for response in world.responses] == [200] * count
    assert [world.count_service_runs(f"many-{n}") for n in range(count)] == [1] * count


@given("zone-a is partitioned from its peers but not from the store")
def _partition_from_peers(world):
    inside = {e.host for e in world.stack.entries if e.zone == "zone-a"}
    outside = {e.host for e in world.stack.entries} - inside
    for entry in world.stack.entries:
        entry.forwarder.block(outside if entry.zone == "zone-a" else inside)
    wait_for(
        lambda: world.read_metric(0, "merlinnotch_live_members ") == 2,
        "detection of the partition",
    )
    wait_for(
        lambda: world.read_metric(2, "merlinnotch_live_members ") == 2,
        "detection of the partition",
    )


@when(parsers.parse("{count:d} bookings are sent through both zones concurrently"))
def _send_through_both_zones(world, count):
    for number in range(count):
        for entry in (0, 2):
            world.start_request(world.send_booking, entry, f"both-{number}")
    world.responses += world.wait_for_requests()


@then(parsers.parse("each of the {count:d} bookings has run at most once"))
def _check_at_most_one_run_each(world, count):
    runs = [world.count_service_runs(f"both-{n}") for n in range(count)]
    assert all(run <= 1 for run in runs)
    outcomes = [response.outcome for response in world.responses]
    assert set(outcomes) <= {"answered", "unknown"}
    world.context["runs"] = sum(runs)


@then("every booking is eventually billed as often as it ran")
def _check_bills_match_runs(world):
    world.wait_for_billed_requests(world.context["runs"])
    assert world.count_billed_requests() == world.context["runs"]


@when("all plain services report that they are shutting down")
def _report_shutdown_of_services(world):
    world.configure_services(leaving=True)
    for name in world.stack.services:
        wait_for(
            lambda n=name: world.knows_shutdown(2, n),
            f"shutdown report of {name}",
        )


@when(parsers.parse('chat request "{key}" is sent through entries 0 and 2'))
def _send_chat_through_both_zones(world, key):
    for entry in (0, 2):
        world.start_request(
            world.send_chat, entry, "swift", headers={"Idempotency-Key": key}
        )
    world.responses += world.wait_for_requests()


@then(parsers.parse('two runs of chat request "{key}" have finished'))
def _check_two_runs(world, key):
    runs = [run for run in world.read_engine_runs() if run["request_id"] == key]
    assert [run["finished"] for run in runs] == [True, True]


@then("exactly 1 request is billed after all bills are posted")
def _check_one_bill(world):
    metric = 'merlinnotch_bills_total{step="posted"}'
    for entry in (0, 2):
        wait_for(
            lambda e=entry: world.read_metric(e, metric) == 1,
            f"posted bill of entry {entry}",
        )
    assert world.count_billed_requests() == 1


@when(
    parsers.parse(
        'booking "{key}" is retried through entry {entry:d} in the background'
    )
)
def _retry_in_background(world, key, entry):
    world.start_request(
        world.send_booking, entry, key, **{"X-Merlinnotch-Deadline-Ms": "60000"}
    )
    time.sleep(0.5)


@when(parsers.parse("entry {entry:d} is suspended for {seconds:g} seconds"))
def _suspend_entry_for(world, entry, seconds):
    world.get_entry(entry).process.suspend()
    time.sleep(seconds)
    world.get_entry(entry).process.resume()

"""Model checks: specifications hold, and faulty variants violate their properties."""

import pytest
from minicheck import check_safety

from specs import (
    configuration,
    evacuation,
    ledger,
    mirror,
    orders,
    restored_store,
    rollout,
)

MAX_STATES = 400_000


def property_holds(protocol, name):
    """Return whether the invariant *name* holds in all reachable states."""
    result = check_safety(protocol, max_states=MAX_STATES)
    return result["properties"][name]["holds"]


def test_ring_log_runs_a_request_at_most_once():
    assert property_holds(ledger.build(), "at_most_one_run")


@pytest.mark.parametrize("build", [ledger.build_unconditional, ledger.build_deleting])
def test_faulty_logs_run_a_request_twice(build):
    assert not property_holds(build(), "at_most_one_run")


@pytest.mark.parametrize("name", ["never_reverts", "revision_accepted_once"])
def test_configuration_never_reverts_or_accepts_twice(name):
    assert property_holds(configuration.build(), name)


def test_instances_that_accept_older_revisions_revert():
    assert not property_holds(configuration.build_accepting_older(), "never_reverts")


def test_unconditional_apply_accepts_a_revision_twice():
    assert not property_holds(
        configuration.build_unconditional_apply(), "revision_accepted_once"
    )


FINAL_STATUS = "final_status_never_changes"


def test_final_rollout_status_never_changes():
    assert property_holds(rollout.build(), FINAL_STATUS)


@pytest.mark.parametrize(
    "build", [rollout.build_unconditional, rollout.build_changing_final]
)
def test_faulty_leaders_change_a_final_status(build):
    assert not property_holds(build(), FINAL_STATUS)


EVIDENCE = "completed_version_was_shown_sound"


def test_version_is_completed_only_with_evidence():
    assert property_holds(rollout.build(), EVIDENCE)


def test_faulty_leader_completes_without_evidence():
    assert not property_holds(rollout.build_without_evidence(), EVIDENCE)


UNDER_LOAD = "completed_version_is_sound_under_load"


def test_version_that_fails_under_load_is_never_completed():
    assert property_holds(rollout.build(), UNDER_LOAD)


def test_idle_canaries_miss_a_version_that_fails_under_load():
    assert not property_holds(rollout.build_idle_canaries(), UNDER_LOAD)


MIRRORS = "mirrors_match_history"


def test_mirrors_match_the_store_with_updates_in_any_order():
    assert property_holds(mirror.build(), MIRRORS)


@pytest.mark.parametrize(
    "build", [mirror.build_accepting_old_reads, mirror.build_keeping_deleted]
)
def test_faulty_mirrors_differ_from_the_store(build):
    assert not property_holds(build(), MIRRORS)


FENCES = "executed_fences_never_decrease"


@pytest.mark.parametrize("pauses", [False, True])
def test_engines_that_check_the_fence_execute_no_older_order(pauses):
    assert property_holds(orders.build(engine_checks_fence=True, pauses=pauses), FENCES)


def test_lease_margins_protect_engines_that_ignore_the_fence():
    assert property_holds(orders.build(engine_checks_fence=False), FENCES)


@pytest.mark.parametrize(
    "variant", [{"waits": False, "stops_early": False}, {"pauses": True}]
)
def test_engines_that_ignore_the_fence_execute_older_orders(variant):
    assert not property_holds(
        orders.build(engine_checks_fence=False, **variant), FENCES
    )


TARGETS = "targets_match_mirrored_store"


def test_instances_send_nothing_to_evacuated_zones():
    assert property_holds(evacuation.build(), TARGETS)


@pytest.mark.parametrize(
    "build", [evacuation.build_ended_by_restart, evacuation.build_endless]
)
def test_faulty_views_have_wrong_targets(build):
    assert not property_holds(build(), TARGETS)


def test_mirrors_match_a_store_that_is_restored():
    assert property_holds(restored_store.build(), "mirrors_match_history")


def test_mirrors_that_know_no_eras_mix_states():
    protocol = restored_store.build_without_eras()
    assert not property_holds(protocol, "mirrors_match_history")

"""Specification of rollouts that instances advance by conditional writes.

Two instances lead the same rollout without an election. Each writes the next status
on the condition that the store's index is the one that it read. A write may be applied
late, after its sender has given it up, and an instance may be paused between reading
and writing.

State: ``status`` and ``index`` in the store; ``first_final``, the first final status
that was written; ``shown_sound``, whether the version's answers have shown that it is
sound; ``faulty``, whether it fails under load, None before that is chosen; and for each
instance the (status, index) that it read, whether it rejected the version and its
pending write as (status, expected index). Answers show how the version behaves under
load because its canaries are loaded.
"""

from minicheck import Protocol

NONE, ACTIVE, COMPLETE, REVERTED = "none", "active", "complete", "reverted"
FINAL_STATUSES = (COMPLETE, REVERTED)
MAX_INDEX = 4


def build():
    """Return the implemented protocol."""
    return _build("rollout", conditional=True, keeps_final=True, needs_evidence=True)


def build_unconditional():
    """Return a faulty variant: instances write without comparing the index."""
    return _build(
        "rollout-unconditional",
        conditional=False,
        keeps_final=True,
        needs_evidence=True,
    )


def build_changing_final():
    """Return a faulty variant: an instance reverts a completed rollout."""
    return _build(
        "rollout-changing-final",
        conditional=True,
        keeps_final=False,
        needs_evidence=True,
    )


def build_without_evidence():
    """Return a faulty variant: a version that isn't rejected in time is completed."""
    return _build(
        "rollout-without-evidence",
        conditional=True,
        keeps_final=True,
        needs_evidence=False,
    )


def build_idle_canaries():
    """Return a faulty variant: there are too many canaries for any to be loaded."""
    return _build(
        "rollout-idle-canaries",
        conditional=True,
        keeps_final=True,
        needs_evidence=True,
        loads_canaries=False,
    )


def _build(name, conditional, keeps_final, needs_evidence, loads_canaries=True):
    instance = ((NONE, 0), False, None)
    return Protocol(
        name=name,
        candidate=False,
        fields=(
            "status",
            "index",
            "first_final",
            "shown_sound",
            "faulty",
            "instance_1",
            "instance_2",
        ),
        initial=(NONE, 0, None, False, None, instance, instance),
        transitions=lambda state: list(
            _generate_transitions(
                state, conditional, keeps_final, needs_evidence, loads_canaries
            )
        ),
        invariants={
            "final_status_never_changes": lambda d: (
                d["first_final"] in (None, d["status"])
            ),
            "completed_version_was_shown_sound": lambda d: (
                d["status"] != COMPLETE or d["shown_sound"]
            ),
            "completed_version_is_sound_under_load": lambda d: (
                d["status"] != COMPLETE or d["faulty"] is False
            ),
        },
    )


def _generate_transitions(
    state, conditional, keeps_final, needs_evidence, loads_canaries
):
    status, index, _, shown_sound, faulty, *instances = state
    if faulty is None:
        yield "the version is sound", _replace_field(state, 4, False)
        yield "the version fails under load", _replace_field(state, 4, True)
        return
    if not shown_sound and (not faulty or not loads_canaries):
        yield "answers show that it is sound", _replace_field(state, 3, True)
    for number, (read, rejected, pending) in enumerate(instances):
        position = 5 + number
        if read != (status, index):
            yield (
                f"{position} reads",
                _replace_field(state, position, ((status, index), rejected, pending)),
            )
        if not rejected:
            yield (
                f"{position} rejects the version",
                _replace_field(state, position, (read, True, pending)),
            )
        if pending is None and index < MAX_INDEX:
            may_complete = shown_sound or not needs_evidence
            for new_status in _generate_next_statuses(
                read[0], rejected, keeps_final, may_complete
            ):
                sent = (read, rejected, (new_status, read[1]))
                yield (
                    f"{position} sends {new_status}",
                    _replace_field(state, position, sent),
                )
        if pending is not None:
            yield from _generate_write_outcomes(state, position, conditional)


def _generate_next_statuses(status, rejected, keeps_final, may_complete):
    """Yield the statuses that an instance may write after it read *status*."""
    if keeps_final and status in FINAL_STATUSES:
        return
    if rejected and status != REVERTED:
        yield REVERTED
    elif status == NONE:
        yield ACTIVE
    elif status == ACTIVE and may_complete:
        yield COMPLETE


def _generate_write_outcomes(state, position, conditional):
    index, first_final = state[1], state[2]
    read, rejected, (new_status, expected_index) = state[position]
    settled = _replace_field(state, position, (read, rejected, None))
    yield f"{position}'s write is lost", settled
    if conditional and expected_index != index:
        return
    new_first_final = first_final or (
        new_status if new_status in FINAL_STATUSES else None
    )
    yield (
        f"{position}'s write is applied",
        (new_status, index + 1, new_first_final, *settled[3:]),
    )


def _replace_field(state, position, value):
    return (*state[:position], value, *state[position + 1 :])

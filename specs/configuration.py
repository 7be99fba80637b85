"""Specification of configuration revisions.

Two operators apply revisions by compare-and-swap, and replies may be lost. Two
instances learn revisions from the store or from each other. The store may be restored
once to an older state, after which instances write their newer revision back.

State: ``store`` (the revision in the store), ``index`` (its modify index),
``restored``, for each operator the (revision, index) that it read and the revision
whose write was accepted, and for each instance ``x`` and ``y`` its current revision
and the highest that it ever had.
"""

from minicheck import Protocol

MAX_REVISION = 3


def build():
    """Return the implemented protocol: instances accept only newer revisions."""
    return _build("configuration", lambda current, offered: offered > current)


def build_accepting_older():
    """Return a faulty variant: instances accept any revision that they are offered."""
    return _build(
        "configuration-accepting-older", lambda current, offered: offered != current
    )


def build_unconditional_apply():
    """Return a faulty variant: operators write without comparing the index."""
    return _build(
        "configuration-unconditional-apply",
        lambda current, offered: offered > current,
        unconditional=True,
    )


def _build(name, accepts, unconditional=False):
    operator = (None, 0)
    return Protocol(
        name=name,
        candidate=False,
        fields=("store", "index", "restored", "operator_1", "operator_2", "x", "y"),
        initial=(0, 0, False, operator, operator, (0, 0), (0, 0)),
        transitions=lambda state: list(
            _generate_transitions(state, accepts, unconditional)
        ),
        invariants={
            "never_reverts": lambda d: all(d[i][0] == d[i][1] for i in "xy"),
            "revision_accepted_once": lambda d: (
                not d["operator_1"][1] or d["operator_1"][1] != d["operator_2"][1]
            ),
        },
    )


def _generate_transitions(state, accepts, unconditional):
    store, index, restored, *rest = state
    yield from _generate_operator_steps(state, unconditional)
    if not restored and store > 0:
        yield "restore the store", (store - 1, index + 1, True, *rest)
    for position in (5, 6):
        current, highest = state[position]
        sources = {"store": store, "peer": state[11 - position][0]}
        for source, offered in sources.items():
            if accepts(current, offered):
                updated = (offered, max(highest, offered))
                yield (
                    f"instance {position} accepts a revision from {source}",
                    _replace_field(state, position, updated),
                )
        if current > store:
            repaired = _replace_field(state, 0, current)
            yield (
                f"instance {position} repairs the store",
                _replace_field(repaired, 1, index + 1),
            )


def _generate_operator_steps(state, unconditional):
    store, index, restored, *_ = state
    for position in (3, 4):
        read, accepted = state[position]
        if accepted:
            continue
        if read is None and store < MAX_REVISION:
            yield (
                f"operator {position} reads",
                _replace_field(state, position, ((store, index), 0)),
            )
        elif read is not None:
            yield from _generate_apply_steps(state, position, read, unconditional)


def _generate_apply_steps(state, position, read, unconditional):
    read_revision, read_index = read
    _, index, restored, *_ = state
    # After a restore, an operator can't tell whether its own earlier write was
    # accepted. The command refuses to apply while instances have a newer revision.
    if restored:
        return
    if unconditional or index == read_index:
        written = _replace_field(
            _replace_field(state, 0, read_revision + 1), 1, index + 1
        )
        yield (
            f"operator {position} applies",
            _replace_field(written, position, (read, read_revision + 1)),
        )
    else:
        yield (
            f"operator {position} gets a conflict",
            _replace_field(state, position, (None, 0)),
        )


def _replace_field(state, position, value):
    return (*state[:position], value, *state[position + 1 :])

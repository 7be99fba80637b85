"""Configuration revisions, as a small specification.

Two operators apply by compare-and-swap, replies may be lost; two instances
learn from the store or from each other; the store may once be put back to an
older state, and instances repair it.

State: ``store`` (the revision in the store and its modify index), ``backup``,
``restored``, for each operator what it read and whether it was told
"accepted", and for each instance the revision in force and the highest it
ever had in force.
"""

from minicheck import Protocol

MAX_REVISION = 3


def build():
    """Return the protocol as built: instances take revisions upward only."""
    return _build("configuration", lambda held, seen: seen > held)


def build_trusting():
    """Return a broken variant: instances take whatever the store holds."""
    return _build("configuration-trusting", lambda held, seen: seen != held)


def build_blind_apply():
    """Return a broken variant: operators write without comparing."""
    return _build("configuration-blind", lambda held, seen: seen > held, blind=True)


def _build(name, takes, blind=False):
    operator = (None, 0)
    return Protocol(
        name=name,
        candidate=False,
        fields=("store", "index", "restored", "one", "two", "x", "y"),
        initial=(0, 0, False, operator, operator, (0, 0), (0, 0)),
        transitions=lambda state: list(_step(state, takes, blind)),
        invariants={
            "never_reverts": lambda d: all(d[i][0] == d[i][1] for i in "xy"),
            "one_winner": lambda d: not d["one"][1] or d["one"][1] != d["two"][1],
        },
    )


def _step(state, takes, blind):
    store, index, restored, *rest = state
    yield from _operate(state, blind)
    if not restored and store > 0:
        yield "restore", (store - 1, index + 1, True, *rest)
    for place in (5, 6):
        held, highest = state[place]
        sources = {"store": store, "peer": state[11 - place][0]}
        for source, seen in sources.items():
            if takes(held, seen):
                after = (seen, max(highest, seen))
                yield f"instance {place} takes from {source}", _put(state, place, after)
        if held > store:
            repaired = _put(state, 0, held)
            yield f"instance {place} repairs", _put(repaired, 1, index + 1)


def _operate(state, blind):
    store, index, restored, *_ = state
    for place in (3, 4):
        read, accepted = state[place]
        if accepted:
            continue
        if read is None and store < MAX_REVISION:
            yield f"operator {place} reads", _put(state, place, ((store, index), 0))
        elif read is not None:
            yield from _apply(state, place, read, blind)


def _apply(state, place, read, blind):
    planned, read_index = read
    _, index, restored, *_ = state
    # One operator's success on a restored store can't be told from its own
    # earlier one; the command refuses while instances are ahead.
    if restored:
        return
    if blind or index == read_index:
        written = _put(_put(state, 0, planned + 1), 1, index + 1)
        yield f"operator {place} applies", _put(written, place, (read, planned + 1))
    else:
        yield f"operator {place} gets a conflict", _put(state, place, (None, 0))


def _put(state, place, value):
    return (*state[:place], value, *state[place + 1 :])

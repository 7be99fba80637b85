"""Leading a roll-out by conditioned writes, as a small specification.

Two instances lead without electing anyone. Each writes the next state on the
condition that the store's index is the one that it saw. A write may be carried
out late, when its sender has long given it up, and an instance may be paused
between looking and writing.

State: ``status`` and ``index`` in the store, ``first_end`` (the first final
state that operators were told), and for each instance what it saw, whether it
convicted the version and the write that is under way.
"""

from minicheck import Protocol

NONE, ACTIVE, COMPLETE, REVERTED = "none", "active", "complete", "reverted"
ENDS = (COMPLETE, REVERTED)
MAX_INDEX = 4


def build():
    """Return the protocol as built."""
    return _build("rollout", conditioned=True, minds_ends=True)


def build_blind():
    """Return a broken variant: instances write whatever is there."""
    return _build("rollout-blind", conditioned=False, minds_ends=True)


def build_restless():
    """Return a broken variant: an instance reverts what it saw completed."""
    return _build("rollout-restless", conditioned=True, minds_ends=False)


def _build(name, conditioned, minds_ends):
    instance = ((NONE, 0), False, None)
    return Protocol(
        name=name,
        candidate=False,
        fields=("status", "index", "first_end", "one", "two"),
        initial=(NONE, 0, None, instance, instance),
        transitions=lambda state: list(_step(state, conditioned, minds_ends)),
        invariants={
            "an_end_is_final": lambda d: d["first_end"] in (None, d["status"]),
        },
    )


def _step(state, conditioned, minds_ends):
    status, index, _, *instances = state
    for number, (seen, convicted, pending) in enumerate(instances):
        place = 3 + number
        if seen != (status, index):
            yield (
                f"{place} looks",
                _put(state, place, ((status, index), convicted, pending)),
            )
        if not convicted:
            yield f"{place} convicts", _put(state, place, (seen, True, pending))
        if pending is None and index < MAX_INDEX:
            for wanted in _want(seen[0], convicted, minds_ends):
                sent = (seen, convicted, (wanted, seen[1]))
                yield f"{place} sends {wanted}", _put(state, place, sent)
        if pending is not None:
            yield from _carry_out(state, place, conditioned)


def _want(seen, convicted, minds_ends):
    """Return the states that an instance may write after what it saw."""
    if minds_ends and seen in ENDS:
        return
    if convicted and seen != REVERTED:
        yield REVERTED
    elif seen == NONE:
        yield ACTIVE
    elif seen == ACTIVE:
        yield COMPLETE


def _carry_out(state, place, conditioned):
    status, index, first_end, *_ = state
    seen, convicted, (wanted, expected) = state[place]
    done = _put(state, place, (seen, convicted, None))
    yield f"{place}'s write is lost", done
    if conditioned and expected != index:
        return
    end = first_end or (wanted if wanted in ENDS else None)
    yield f"{place}'s write is done", (wanted, index + 1, end, *done[3:])


def _put(state, place, value):
    return (*state[:place], value, *state[place + 1 :])

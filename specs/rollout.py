"""Leading a roll-out by conditioned writes, as a small specification.

Two instances lead without electing anyone. Each writes the next state on the
condition that the store's index is the one that it saw. A write may be carried
out late, when its sender has long given it up, and an instance may be paused
between looking and writing.

State: ``status`` and ``index`` in the store, ``first_end`` (the first final
state that operators were told), ``shown`` (whether the version's answers have shown
that it is sound), ``bad`` (whether it fails under load; None before that is chosen),
and for each instance what it saw, whether it convicted the version and the write that
is under way. Answers show what the version does under load, as its canaries are loaded.
"""

from minicheck import Protocol

NONE, ACTIVE, COMPLETE, REVERTED = "none", "active", "complete", "reverted"
ENDS = (COMPLETE, REVERTED)
MAX_INDEX = 4


def build():
    """Return the protocol as built."""
    return _build("rollout", conditioned=True, minds_ends=True, wants_proof=True)


def build_blind():
    """Return a broken variant: instances write whatever is there."""
    return _build("rollout-blind", conditioned=False, minds_ends=True, wants_proof=True)


def build_restless():
    """Return a broken variant: an instance reverts what it saw completed."""
    return _build(
        "rollout-restless", conditioned=True, minds_ends=False, wants_proof=True
    )


def build_hasty():
    """Return a broken variant: what was not convicted in time is completed."""
    return _build("rollout-hasty", conditioned=True, minds_ends=True, wants_proof=False)


def build_idle():
    """Return a broken variant: canaries are so many that none of them is loaded."""
    return _build(
        "rollout-idle",
        conditioned=True,
        minds_ends=True,
        wants_proof=True,
        loads_canaries=False,
    )


def _build(name, conditioned, minds_ends, wants_proof, loads_canaries=True):
    instance = ((NONE, 0), False, None)
    return Protocol(
        name=name,
        candidate=False,
        fields=("status", "index", "first_end", "shown", "bad", "one", "two"),
        initial=(NONE, 0, None, False, None, instance, instance),
        transitions=lambda state: list(
            _step(state, conditioned, minds_ends, wants_proof, loads_canaries)
        ),
        invariants={
            "an_end_is_final": lambda d: d["first_end"] in (None, d["status"]),
            "complete_is_shown_sound": lambda d: d["status"] != COMPLETE or d["shown"],
            "complete_is_sound_under_load": lambda d: (
                d["status"] != COMPLETE or d["bad"] is False
            ),
        },
    )


def _step(state, conditioned, minds_ends, wants_proof, loads_canaries):
    status, index, _, shown, bad, *instances = state
    if bad is None:
        yield "the version is sound", _put(state, 4, False)
        yield "the version fails under load", _put(state, 4, True)
        return
    if not shown and (not bad or not loads_canaries):
        yield "answers show that it is sound", _put(state, 3, True)
    for number, (seen, convicted, pending) in enumerate(instances):
        place = 5 + number
        if seen != (status, index):
            yield (
                f"{place} looks",
                _put(state, place, ((status, index), convicted, pending)),
            )
        if not convicted:
            yield f"{place} convicts", _put(state, place, (seen, True, pending))
        if pending is None and index < MAX_INDEX:
            may_complete = shown or not wants_proof
            for wanted in _want(seen[0], convicted, minds_ends, may_complete):
                sent = (seen, convicted, (wanted, seen[1]))
                yield f"{place} sends {wanted}", _put(state, place, sent)
        if pending is not None:
            yield from _carry_out(state, place, conditioned)


def _want(seen, convicted, minds_ends, may_complete):
    """Return the states that an instance may write after what it saw."""
    if minds_ends and seen in ENDS:
        return
    if convicted and seen != REVERTED:
        yield REVERTED
    elif seen == NONE:
        yield ACTIVE
    elif seen == ACTIVE and may_complete:
        yield COMPLETE


def _carry_out(state, place, conditioned):
    index, first_end = state[1], state[2]
    seen, convicted, (wanted, expected) = state[place]
    done = _put(state, place, (seen, convicted, None))
    yield f"{place}'s write is lost", done
    if conditioned and expected != index:
        return
    end = first_end or (wanted if wanted in ENDS else None)
    yield f"{place}'s write is done", (wanted, index + 1, end, *done[3:])


def _put(state, place, value):
    return (*state[:place], value, *state[place + 1 :])

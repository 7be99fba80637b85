"""Specification of the ledger's ring log.

Two writers share one bucket. Each may claim the same request once and may append
fillers, so that the log grows while a writer is paused. Writes may be delayed without
limit, replies may be lost, and a writer repeats a write until its outcome is known.

State: ``log`` (the content of each position: the writer's name for a claim, ``.`` for
a filler), ``in_flight`` (writes that have not arrived), and for each writer ``a`` and
``b`` the next position that it knows of, whether it knows of a claim, its pending
write and how often it ran the request.
"""

from minicheck import Protocol

SLOTS = 2
MAX_LOG_LENGTH = 4
MAX_IN_FLIGHT = 2
WRITERS = ("a", "b")
FILLER = "."


def build():
    """Return the implemented protocol: a write compares the slot's occupant."""
    return _build("ledger", _has_expected_occupant)


def build_unconditional():
    """Return a faulty variant: a write overwrites any occupant."""
    return _build("ledger-unconditional", lambda log, position: True)


def build_deleting():
    """Return a faulty variant: old positions are deleted and count as unwritten."""
    return _build("ledger-deleting", _is_absent)


def _has_expected_occupant(log, position):
    # The slot holds position - SLOTS only while position is the next one that
    # can be written to it.
    occupant = _find_occupant(len(log), position % SLOTS)
    return occupant == position - SLOTS or (occupant == 0 and position <= SLOTS)


def _find_occupant(length, slot):
    """Return the last position written to *slot*, 0 for none."""
    return max((p for p in range(1, length + 1) if p % SLOTS == slot), default=0)


def _is_absent(log, position):
    deleted = len(log) - SLOTS
    return position > len(log) or position <= deleted


def _build(name, accepts):
    writer = (1, False, None, 0)
    return Protocol(
        name=name,
        candidate=False,
        fields=("log", "in_flight", "a", "b"),
        initial=("", (), writer, writer),
        transitions=lambda state: list(_generate_transitions(state, accepts)),
        invariants={
            "at_most_one_run": lambda d: d["a"][3] + d["b"][3] <= 1,
        },
    )


def _generate_transitions(state, accepts):
    log, in_flight, *writers = state
    for number, name in enumerate(WRITERS):
        yield from _generate_load(log, in_flight, writers, number, name)
        yield from _generate_sends(log, in_flight, writers, number, name)
    for message in in_flight:
        yield from _generate_deliveries(log, in_flight, writers, message, accepts)


def _generate_load(log, in_flight, writers, number, name):
    """Replay the log; settle the pending write if its position is taken."""
    position, _, pending, runs = writers[number]
    if pending is not None:
        pending_position, content = pending
        if pending_position <= len(log):
            runs += int(log[pending_position - 1] == content == name)
            pending = None
    updated = (len(log) + 1, _is_claimed(log), pending, runs)
    if updated != writers[number]:
        yield f"load {name}", _replace_writer(log, in_flight, writers, number, updated)


def _generate_sends(log, in_flight, writers, number, name):
    """Send the pending write again, or a new one."""
    position, claimed, pending, runs = writers[number]
    if len(in_flight) >= MAX_IN_FLIGHT or position > MAX_LOG_LENGTH:
        return
    if pending is not None:
        choices = [pending]
    else:
        choices = [(position, FILLER)]
        if not claimed:
            choices.append((position, name))
    for choice in choices:
        message = (number, *choice)
        if message in in_flight:
            continue
        updated = (position, claimed, choice, runs)
        sent = tuple(sorted((*in_flight, message)))
        yield f"send {message}", _replace_writer(log, sent, writers, number, updated)


def _generate_deliveries(log, in_flight, writers, message, accepts):
    """Apply a write to the log; its reply arrives or is lost."""
    number, position, content = message
    remaining = list(in_flight)
    remaining.remove(message)
    remaining = tuple(remaining)
    if not accepts(log, position):
        yield f"reject {message}", (log, remaining, *writers)
        return
    if position == len(log) + 1:
        new_log = log + content
    else:
        new_log = log[: position - 1] + content + log[position:]
    if len(new_log) > MAX_LOG_LENGTH:
        return
    yield f"apply {message}, reply lost", (new_log, remaining, *writers)
    if writers[number][2] == (position, content):
        _, claimed, _, runs = writers[number]
        runs += int(content == WRITERS[number])
        updated = (position + 1, claimed or content != FILLER, None, runs)
        yield (
            f"apply {message}",
            _replace_writer(new_log, remaining, writers, number, updated),
        )


def _replace_writer(log, in_flight, writers, number, writer):
    """Return the state in which writer *number* is *writer*."""
    writers = list(writers)
    writers[number] = writer
    return (log, in_flight, *writers)


def _is_claimed(log):
    return any(content != FILLER for content in log)

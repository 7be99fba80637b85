"""The ledger's ring log, as a small specification.

Two writers share one bucket. Each may claim the same request once, and may
append fillers, so that the log moves on under a paused writer. Writes travel
on a network that may hold them for any time, and replies may be lost.

State: ``log`` (who wrote each position, ``a``/``b`` for claims, ``.`` for
fillers), ``net`` (writes under way), and for each writer its view of the next
position, whether it saw a claim, its unsettled write, and whether it ran.
"""

from minicheck import Protocol

SLOTS = 2
MAX_LOG = 4
MAX_NET = 2
WRITERS = ("a", "b")
FILLER = "."


def build_ring():
    """Return the protocol as built: a write swaps on its slot's occupant."""
    return _build("ledger-ring", _swap_on_occupant)


def build_blind():
    """Return a broken variant: a write goes through whatever is there."""
    return _build("ledger-blind", lambda log, position: True)


def build_deleting():
    """Return a broken variant: folded positions are deleted and absent again."""
    return _build("ledger-deleting", _create_if_absent)


def _swap_on_occupant(log, position):
    # The slot holds position - SLOTS exactly while position is the next one
    # that this slot can take.
    occupant = _find_occupant(len(log), position % SLOTS)
    return occupant == position - SLOTS or (occupant == 0 and position <= SLOTS)


def _find_occupant(length, slot):
    return max((p for p in range(1, length + 1) if p % SLOTS == slot), default=0)


def _create_if_absent(log, position):
    folded = len(log) - SLOTS
    return position > len(log) or position <= folded


def _build(name, accepts):
    writer = (1, False, None, 0)
    return Protocol(
        name=name,
        candidate=False,
        fields=("log", "net", "a", "b"),
        initial=("", (), writer, writer),
        transitions=lambda state: list(_step(state, accepts)),
        invariants={
            "at_most_one_run": lambda d: d["a"][3] + d["b"][3] <= 1,
        },
    )


def _step(state, accepts):
    log, net, *writers = state
    for number, name in enumerate(WRITERS):
        yield from _load(log, net, writers, number, name)
        yield from _write(log, net, writers, number, name)
    for message in net:
        yield from _land(log, net, writers, message, accepts)


def _load(log, net, writers, number, name):
    """Replay the log; settle or give up the unsettled write."""
    position, _, unsettled, runs = writers[number]
    if unsettled is not None:
        at, content = unsettled
        if at <= len(log):
            runs += int(log[at - 1] == content == name)
            unsettled = None
    after = (len(log) + 1, _is_claimed(log), unsettled, runs)
    if after != writers[number]:
        yield f"load {name}", _state(log, net, writers, number, after)


def _write(log, net, writers, number, name):
    """Send the unsettled write, again or for the first time."""
    position, claimed, unsettled, runs = writers[number]
    if len(net) >= MAX_NET or position > MAX_LOG:
        return
    if unsettled is not None:
        choices = [unsettled]
    else:
        choices = [(position, FILLER)]
        if not claimed:
            choices.append((position, name))
    for choice in choices:
        message = (number, *choice)
        if message in net:
            continue
        after = (position, claimed, choice, runs)
        sent = tuple(sorted((*net, message)))
        yield f"send {message}", _state(log, sent, writers, number, after)


def _land(log, net, writers, message, accepts):
    """A write reaches the store; its reply arrives or is lost."""
    number, position, content = message
    rest = list(net)
    rest.remove(message)
    rest = tuple(rest)
    # The message stays as well: the network may deliver it twice.
    if not accepts(log, position):
        yield f"refuse {message}", (log, rest, *writers)
        return
    if position == len(log) + 1:
        grown = log + content
    else:
        grown = log[: position - 1] + content + log[position:]
    if len(grown) > MAX_LOG:
        return
    yield f"land {message}, reply lost", (grown, rest, *writers)
    if writers[number][2] == (position, content):
        _, claimed, _, runs = writers[number]
        runs += int(content == WRITERS[number])
        after = (position + 1, claimed or content != FILLER, None, runs)
        yield f"land {message}", _state(grown, rest, writers, number, after)


def _state(log, net, writers, number, after):
    writers = list(writers)
    writers[number] = after
    return (log, net, *writers)


def _is_claimed(log):
    return any(content != FILLER for content in log)

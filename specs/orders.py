"""Orders under a lease, as a small specification with discrete time.

Two instances contend for a lease. A holder orders while it believes that its
lease is safe; its clock may lag behind the store's by one tick, and an order
may be under way for one tick. Engines honour the fencing number or ignore it.

State: time, the lease (holder, end, fence), for each instance its belief
(fence, renewed at, acquired at, all in its own time), orders under way, and
the fence of the last order that the engine carried out.
"""

from minicheck import Protocol

TTL = 4
SAFE = 2
MAX_TIME = 9
MAX_LAG = 1
NONE = (0, -99, -99)


def build(honours, waits=True, stops_early=True, pauses=False):
    """Return the protocol; switching a part off makes a broken variant.

    With *pauses* an instance may be paused between its check and its order.
    """
    name = f"orders-{honours}-{waits}-{stops_early}-{pauses}"
    return Protocol(
        name=name,
        candidate=False,
        fields=("time", "lease", "one", "two", "net", "engine", "reverted"),
        initial=(0, (0, 0, 0), NONE, NONE, (), 0, False),
        transitions=lambda s: list(_step(s, honours, waits, stops_early, pauses)),
        invariants={"never_back_to_an_old_holder": lambda d: not d["reverted"]},
    )


def _step(state, honours, waits, stops_early, pauses):
    time, lease, *_ = state
    if time < MAX_TIME and (pauses or not _has_old_order(state)):
        aged = tuple((fence, age + 1) for fence, age in state[4])
        yield "tick", (time + 1, *state[1:4], aged, *state[5:])
    for place in (2, 3):
        yield from _hold(state, place)
        yield from _order(state, place, waits, stops_early)
    for order in set(state[4]):
        yield from _arrive(state, order, honours)


def _has_old_order(state):
    """Whether an order has been under way for as long as it may be."""
    return any(age >= 1 for _, age in state[4])


def _hold(state, place):
    time, (holder, end, fence), *_ = state
    if holder == place and time < end:
        renewed = _put(state, 1, (place, time + TTL, fence))
        mine, _, acquired = state[place]
        yield f"{place} renews", _put(renewed, place, (mine, time, acquired))
    elif time >= end and fence < 2:
        taken = _put(state, 1, (place, time + TTL, fence + 1))
        yield f"{place} acquires", _put(taken, place, (fence + 1, time, time))


def _order(state, place, waits, stops_early):
    time = state[0]
    fence, renewed, acquired = state[place]
    if not fence or len(state[4]) >= 2:
        return
    # The instance's clock lags, so it believes that less time has passed.
    believed = time - MAX_LAG
    limit = SAFE if stops_early else TTL
    waited = not waits or fence == 1 or time - acquired >= TTL
    if waited and believed - renewed < limit:
        sent = tuple(sorted((*state[4], (fence, 0))))
        yield f"{place} orders", _put(state, 4, sent)


def _arrive(state, order, honours):
    fence, _ = order
    rest = list(state[4])
    rest.remove(order)
    after = _put(state, 4, tuple(rest))
    if fence >= state[5]:
        yield f"engine obeys {fence}", _put(after, 5, fence)
    elif honours:
        yield f"engine refuses {fence}", after
    else:
        yield f"engine obeys old {fence}", _put(after, 6, True)


def _put(state, place, value):
    return (*state[:place], value, *state[place + 1 :])

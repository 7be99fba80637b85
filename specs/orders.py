"""Specification of orders under a lease, in discrete time.

Two instances contend for a lease. The holder sends orders while it considers its lease
safe. Its clock may lag behind the store's by one tick, and an order may be in flight
for one tick. Engines reject orders with an older fencing number, or ignore the number.

State: ``time``; ``lease`` as (holder, end, fence); for each instance the last lease
that it acquired as (fence, renewed at, acquired at), in store time; the orders
``in_flight`` as (fence, age); ``engine_fence``, the highest fence of the executed
orders; ``executed_older``, whether an order was executed after one with a higher fence.
"""

from minicheck import Protocol

LEASE_TICKS = 4
SAFE_TICKS = 2
MAX_TIME = 9
MAX_CLOCK_LAG = 1
NO_LEASE = (0, -99, -99)


def build(engine_checks_fence, waits=True, stops_early=True, pauses=False):
    """Return the protocol; without *waits* or *stops_early* it is a faulty variant.

    With *waits* a new holder sends no orders until the previous lease must have ended;
    with *stops_early* a holder stops well before its own lease ends. With *pauses* an
    instance may be paused between its check and its order, so that the order arrives
    any time later.
    """
    name = f"orders-{engine_checks_fence}-{waits}-{stops_early}-{pauses}"
    return Protocol(
        name=name,
        candidate=False,
        fields=(
            "time",
            "lease",
            "instance_1",
            "instance_2",
            "in_flight",
            "engine_fence",
            "executed_older",
        ),
        initial=(0, (0, 0, 0), NO_LEASE, NO_LEASE, (), 0, False),
        transitions=lambda state: list(
            _generate_transitions(
                state, engine_checks_fence, waits, stops_early, pauses
            )
        ),
        invariants={
            "executed_fences_never_decrease": lambda d: not d["executed_older"]
        },
    )


def _generate_transitions(state, engine_checks_fence, waits, stops_early, pauses):
    time, lease, *_ = state
    if time < MAX_TIME and (pauses or not _has_order_at_max_age(state)):
        aged = tuple((fence, age + 1) for fence, age in state[4])
        yield "tick", (time + 1, *state[1:4], aged, *state[5:])
    for position in (2, 3):
        yield from _generate_lease_steps(state, position)
        yield from _generate_order_steps(state, position, waits, stops_early)
    for order in set(state[4]):
        yield from _generate_deliveries(state, order, engine_checks_fence)


def _has_order_at_max_age(state):
    """Return whether an order has been in flight for the maximum time."""
    return any(age >= 1 for _, age in state[4])


def _generate_lease_steps(state, position):
    time, (holder, end, fence), *_ = state
    if holder == position and time < end:
        renewed = _replace_field(state, 1, (position, time + LEASE_TICKS, fence))
        own_fence, _, acquired_at = state[position]
        yield (
            f"{position} renews",
            _replace_field(renewed, position, (own_fence, time, acquired_at)),
        )
    elif time >= end and fence < 2:
        acquired = _replace_field(state, 1, (position, time + LEASE_TICKS, fence + 1))
        yield (
            f"{position} acquires",
            _replace_field(acquired, position, (fence + 1, time, time)),
        )


def _generate_order_steps(state, position, waits, stops_early):
    time = state[0]
    fence, renewed_at, acquired_at = state[position]
    if not fence or len(state[4]) >= 2:
        return
    # By the instance's clock, less time has passed since the renewal.
    local_time = time - MAX_CLOCK_LAG
    limit = SAFE_TICKS if stops_early else LEASE_TICKS
    waited = not waits or fence == 1 or time - acquired_at >= LEASE_TICKS
    if waited and local_time - renewed_at < limit:
        sent = tuple(sorted((*state[4], (fence, 0))))
        yield f"{position} sends an order", _replace_field(state, 4, sent)


def _generate_deliveries(state, order, engine_checks_fence):
    fence, _ = order
    remaining = list(state[4])
    remaining.remove(order)
    delivered = _replace_field(state, 4, tuple(remaining))
    if fence >= state[5]:
        yield f"engine executes {fence}", _replace_field(delivered, 5, fence)
    elif engine_checks_fence:
        yield f"engine rejects {fence}", delivered
    else:
        yield f"engine executes older {fence}", _replace_field(delivered, 6, True)


def _replace_field(state, position, value):
    return (*state[:position], value, *state[position + 1 :])
